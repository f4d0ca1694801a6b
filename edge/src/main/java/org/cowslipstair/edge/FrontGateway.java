package org.cowslipstair.edge;

import io.netty.channel.EventLoop;
import java.nio.channels.ServerSocketChannel;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.edge.backend.BackendTable;
import org.cowslipstair.edge.backend.Prober;
import org.cowslipstair.edge.caller.CallerContext;
import org.cowslipstair.edge.caller.CallerServer;
import org.cowslipstair.edge.exchange.ExchangeContext;
import org.cowslipstair.edge.http.ServerConnector;
import org.cowslipstair.edge.log.BoundedAppender;
import org.cowslipstair.edge.log.GatewayLog;
import org.cowslipstair.edge.log.GatewayMetrics;
import org.cowslipstair.edge.relay.StateSync;
import org.cowslipstair.edge.sync.CountingFeed;
import org.cowslipstair.logic.budget.ColdAllowance;
import org.cowslipstair.logic.budget.ProbeAllowance;
import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.logic.placement.CandidateOrder;
import org.cowslipstair.logic.traffic.TrafficKeeper;
import org.cowslipstair.model.traffic.GatewayEntry;
import org.cowslipstair.model.traffic.TrafficState;
import org.cowslipstair.port.ObjectFeed;
import org.cowslipstair.port.ObjectFeed.Collection;
import org.jboss.logging.Logger;

/**
 * A gateway: follows the store, answers callers, and stops in order. All of it lives on one event
 * loop; methods of this class may be called from any thread.
 */
public final class FrontGateway {
  private static final Logger LOG = Logger.getLogger(FrontGateway.class);

  /** Longest time to open a connection to a backend server; the network loses packets at times. */
  private static final int CONNECT_TIMEOUT_MS = 1_000;

  /** Part of the memory that request bodies may use. */
  private static final int BODY_MEMORY_DIVISOR = 8;

  /** Time from a planned stop in which the balancer may still send new connections. */
  private static final long STOP_NOTICE_MS = 3_200;

  /** Time kept at the end of a planned stop. */
  private static final long STOP_MARGIN_MS = 700;

  /** Longest time that callers wait for the configuration; without it they are refused then. */
  private static final long START_HOLD_MS = 300;

  private static final long STOP_POLL_MS = 50;
  private static final long NS_PER_MS = 1_000_000L;

  private volatile FrontSettings settings;
  private final GatewayParts parts;
  private final TrafficKeeper keeper;
  private final BackendTable table;
  private final ProbeAllowance probes;
  private final CallerContext callers;
  private final StateSync sync;
  private final ColdAllowance cold;
  private List<String> gateways = List.of();
  private boolean showsGauges;
  private volatile CallerServer server;
  private volatile ReadyServer pages;
  private volatile boolean complete;
  private volatile boolean stopping;

  private FrontGateway(FrontSettings settings, GatewayParts parts, GatewayLog log) {
    this.settings = settings;
    this.parts = parts;
    this.keeper = new TrafficKeeper(parts.monitor());
    ObjectFeed feed = new CountingFeed(parts.feed(), log.metrics());
    this.sync = new StateSync(settings, parts.with(feed), keeper, this::refresh);
    ServerConnector connector =
        new ServerConnector(parts.loop(), parts.headers().requestId(), CONNECT_TIMEOUT_MS);
    this.table = new BackendTable(connector, parts.clock());
    this.probes =
        new ProbeAllowance(
            settings.bounds().probesPerSecond(), parts.monitor(), parts.clock().nowNs());
    Prober prober = new Prober(parts.loop(), table, parts.headers(), probes, parts.clock());
    this.cold = new ColdAllowance(settings.name(), parts.monitor());
    ExchangeContext exchanges =
        new ExchangeContext(
            new ExchangeContext.Parts(
                parts.loop(),
                parts.clock(),
                parts.random(),
                () -> this.settings,
                parts.headers(),
                table,
                prober,
                new ExchangeContext.Fleet(
                    () -> gateways,
                    cold,
                    new CandidateOrder(settings.name(), settings.zone(), parts.random()),
                    parts.monitor()),
                log));
    this.callers =
        new CallerContext(
            exchanges,
            log,
            table,
            parts.headers(),
            parts.clock(),
            settings.bounds().memoryBytes() / BODY_MEMORY_DIVISOR);
  }

  /**
   * Starts a gateway; it is ready once it has read the configuration.
   *
   * @param socket open address for callers
   */
  public static FrontGateway start(
      FrontSettings settings, GatewayParts parts, GatewayLog log, ServerSocketChannel socket)
      throws InterruptedException {
    FrontGateway gateway = new FrontGateway(settings, parts, log);
    gateway.listen(log, socket);
    gateway.sync.start();
    return gateway;
  }

  private void listen(GatewayLog log, ServerSocketChannel socket) throws InterruptedException {
    EventLoop loop = parts.loop();
    pages =
        ReadyServer.open(
            loop,
            settings.readyAddress(),
            Map.of(
                "/readyz", () -> new ReadyServer.Page(isReady(), ""),
                "/metrics", () -> new ReadyServer.Page(true, metrics(log.metrics())),
                "/state", () -> new ReadyServer.Page(true, dump())));
    server = CallerServer.open(loop, socket, callers);
    loop.schedule(server::accept, START_HOLD_MS, TimeUnit.MILLISECONDS);
  }

  private String dump() {
    return new StateDump(keeper, table, sync)
        .json(settings, isReady(), callers.connections(), parts.clock().nowNs());
  }

  private String metrics(GatewayMetrics metrics) {
    if (!showsGauges) {
      showsGauges = true;
      showGauges(metrics);
    }
    return metrics.text();
  }

  /**
   * Shows values that are read on the event loop, which also answers for the metrics. Done when the
   * metrics are first asked for, as it would make a start longer by a tenth.
   */
  private void showGauges(GatewayMetrics metrics) {
    metrics.gauge("log.lines.dropped", BoundedAppender::dropped);
    metrics.gauge(
        "configuration.version", () -> table.state().plan().map(p -> p.version()).orElse(0L));
    metrics.gauge("store.revision.backends", () -> keeper.revision(Collection.BACKENDS));
    metrics.gauge("backends.known", () -> table.entries().size());
    metrics.gauge("gateways.known", () -> gateways.size());
    metrics.gauge("callers.open", callers::connections);
    metrics.gauge("probes.sent", probes::taken);
    metrics.gauge("probes.over.budget", probes::refused);
    metrics.gauge("cold.sends", cold::sent);
    metrics.gauge("relay.subscribers", sync::subscribers);
    metrics.gauge("relay.watching", () -> sync.isWatching() ? 1 : 0);
    metrics.gauge("relay.supplied", () -> sync.isSupplied() ? 1 : 0);
  }

  private void refresh() {
    for (TrafficKeeper.Fault fault : keeper.takeFaults()) {
      LOG.warnf(
          "store: %s \"%s\" cannot be read: %s", fault.collection(), fault.name(), fault.reason());
    }
    TrafficState state = keeper.state(parts.clock().nowNs());
    table.update(state);
    gateways = keeper.gateways().stream().map(GatewayEntry::name).toList();
    table.gateways(gateways.size());
    probes.share(Math.max(1, state.backends().size()), gateways.size());
    if (!complete && keeper.isComplete()) {
      complete = true;
      server.accept();
      LOG.infof("gateway: ready with configuration %d", state.plan().get().version());
    }
  }

  /**
   * Takes new settings. Budgets and times are in force at once; addresses and names need a restart.
   */
  public void reload(FrontSettings newer) {
    if (newer.equals(settings)) {
      return;
    }
    settings = newer;
    parts.loop().execute(this::refresh);
    LOG.info("gateway: settings reloaded");
  }

  /** Returns whether new connections are welcome. */
  public boolean isReady() {
    return complete && !stopping;
  }

  /** Returns the port for readiness checks, metrics and dumps. */
  public int readyPort() {
    return pages.port();
  }

  /** Returns the port for callers. */
  public int callerPort() {
    return server.port();
  }

  /**
   * Stops in order: unready at once, serving while the balancer may still send, then without new
   * connections, until the last request is answered or the time is up. Blocks.
   */
  public void stop() throws InterruptedException {
    long startedNs = parts.clock().nowNs();
    long endNs = startedNs + (settings.bounds().stopTimeoutMs() - STOP_MARGIN_MS) * NS_PER_MS;
    long noticeNs =
        startedNs + Math.min(STOP_NOTICE_MS, settings.bounds().stopTimeoutMs() / 2) * NS_PER_MS;
    parts.loop().submit(callers::stopping).syncUninterruptibly();
    stopping = true;
    LOG.info("gateway: stopping");
    boolean closed = false;
    while (parts.clock().nowNs() < endNs) {
      TimeUnit.MILLISECONDS.sleep(STOP_POLL_MS);
      if (parts.clock().nowNs() < noticeNs) {
        continue;
      }
      if (!closed) {
        server.close();
        closed = true;
      }
      if (openAfterClosingIdle() == 0) {
        break;
      }
    }
    int cutOff = openAfterClosingIdle();
    parts.monitor().checkAtMost(Invariant.NO_CALL_CUT_OFF_BY_STOP, settings.name(), cutOff, 0);
    LOG.info("gateway: stopped");
  }

  private int openAfterClosingIdle() {
    return parts
        .loop()
        .submit(
            () -> {
              callers.closeIdle();
              return callers.connections();
            })
        .syncUninterruptibly()
        .getNow();
  }
}
