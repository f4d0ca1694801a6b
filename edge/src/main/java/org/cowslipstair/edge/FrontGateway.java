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
 * A gateway: follows the store, forwards the requests of callers, and performs planned stops. All
 * state lives on one event loop; the methods of this class may be called from any thread.
 */
public final class FrontGateway {
  private static final Logger LOG = Logger.getLogger(FrontGateway.class);

  /** Maximum time to open a connection to a backend server; the network sometimes loses packets. */
  private static final int CONNECT_TIMEOUT_MS = 1_000;

  /** Request bodies may use the process memory divided by this. */
  private static final int BODY_MEMORY_DIVISOR = 8;

  /**
   * Maximum time after the start of a planned stop in which the balancer may still send new
   * connections.
   */
  private static final long MAX_STOP_NOTICE_MS = 3_200;

  /** Time reserved at the end of a planned stop. */
  private static final long STOP_MARGIN_MS = 700;

  /**
   * Maximum time that callers wait for the first configuration; after that their requests are
   * refused.
   */
  private static final long MAX_CONFIGURATION_WAIT_MS = 300;

  private static final long STOP_POLL_MS = 50;
  private static final long NS_PER_MS = 1_000_000L;

  private volatile FrontSettings settings;
  private final GatewayParts parts;
  private final TrafficKeeper keeper;
  private final BackendTable table;
  private final ProbeAllowance probeAllowance;
  private final CallerContext callerContext;
  private final StateSync stateSync;
  private final ColdAllowance coldAllowance;
  private List<String> gatewayNames = List.of();
  private boolean gaugesRegistered;
  private volatile CallerServer callerServer;
  private volatile StatusServer statusServer;
  private volatile boolean configurationLoaded;
  private volatile boolean stopping;

  private FrontGateway(FrontSettings settings, GatewayParts parts, GatewayLog log) {
    this.settings = settings;
    this.parts = parts;
    this.keeper = new TrafficKeeper(parts.monitor());
    ObjectFeed feed = new CountingFeed(parts.feed(), log.metrics());
    this.stateSync = new StateSync(settings, parts.with(feed), keeper, this::applyState);
    ServerConnector connector =
        new ServerConnector(parts.loop(), parts.headers().requestId(), CONNECT_TIMEOUT_MS);
    this.table = new BackendTable(connector, parts.clock());
    this.probeAllowance =
        new ProbeAllowance(
            settings.bounds().probesPerSecond(), parts.monitor(), parts.clock().nowNs());
    Prober prober = new Prober(parts.loop(), table, parts.headers(), probeAllowance, parts.clock());
    this.coldAllowance = new ColdAllowance(settings.name(), parts.monitor());
    ExchangeContext exchangeContext =
        new ExchangeContext(
            new ExchangeContext.Dependencies(
                parts.loop(),
                parts.clock(),
                parts.random(),
                () -> this.settings,
                parts.headers(),
                table,
                prober,
                new ExchangeContext.Fleet(
                    () -> gatewayNames,
                    coldAllowance,
                    new CandidateOrder(settings.name(), settings.zone(), parts.random()),
                    parts.monitor()),
                log));
    this.callerContext =
        new CallerContext(
            exchangeContext,
            log,
            table,
            parts.headers(),
            parts.clock(),
            settings.bounds().memoryBytes() / BODY_MEMORY_DIVISOR);
  }

  /**
   * Starts a gateway; it is ready once it has read the configuration.
   *
   * @param socket bound socket for callers
   */
  public static FrontGateway start(
      FrontSettings settings, GatewayParts parts, GatewayLog log, ServerSocketChannel socket)
      throws InterruptedException {
    FrontGateway gateway = new FrontGateway(settings, parts, log);
    gateway.openServers(log, socket);
    gateway.stateSync.start();
    return gateway;
  }

  private void openServers(GatewayLog log, ServerSocketChannel socket) throws InterruptedException {
    EventLoop loop = parts.loop();
    statusServer =
        StatusServer.open(
            loop,
            settings.readyAddress(),
            Map.of(
                "/readyz", () -> new StatusServer.Page(isReady(), ""),
                "/metrics", () -> new StatusServer.Page(true, metrics(log.metrics())),
                "/state", () -> new StatusServer.Page(true, stateJson())));
    callerServer = CallerServer.open(loop, socket, callerContext);
    loop.schedule(callerServer::startAccepting, MAX_CONFIGURATION_WAIT_MS, TimeUnit.MILLISECONDS);
  }

  private String stateJson() {
    return new StateDump(keeper, table, stateSync)
        .json(settings, isReady(), callerContext.connectionCount(), parts.clock().nowNs());
  }

  private String metrics(GatewayMetrics metrics) {
    if (!gaugesRegistered) {
      gaugesRegistered = true;
      registerGauges(metrics);
    }
    return metrics.text();
  }

  /**
   * Registers gauges that are read on the event loop, which also serves the metrics. Done at the
   * first scrape, since it would lengthen a start by a tenth.
   */
  private void registerGauges(GatewayMetrics metrics) {
    metrics.registerGauge("log.lines.dropped", BoundedAppender::droppedLines);
    metrics.registerGauge(
        "configuration.version", () -> table.state().plan().map(p -> p.version()).orElse(0L));
    metrics.registerGauge("store.revision.backends", () -> keeper.revision(Collection.BACKENDS));
    metrics.registerGauge("backends.known", () -> table.entries().size());
    metrics.registerGauge("gateways.known", () -> gatewayNames.size());
    metrics.registerGauge("callers.open", callerContext::connectionCount);
    metrics.registerGauge("probes.sent", probeAllowance::taken);
    metrics.registerGauge("probes.over.budget", probeAllowance::refused);
    metrics.registerGauge("cold.sends", coldAllowance::sent);
    metrics.registerGauge("relay.subscribers", stateSync::subscribers);
    metrics.registerGauge("relay.watching", () -> stateSync.isWatching() ? 1 : 0);
    metrics.registerGauge("relay.supplied", () -> stateSync.isSupplied() ? 1 : 0);
  }

  private void applyState() {
    for (TrafficKeeper.Fault fault : keeper.takeFaults()) {
      LOG.warnf(
          "store: %s \"%s\" cannot be read: %s", fault.collection(), fault.name(), fault.reason());
    }
    TrafficState state = keeper.state(parts.clock().nowNs());
    table.update(state);
    gatewayNames = keeper.gateways().stream().map(GatewayEntry::name).toList();
    table.setGatewayCount(gatewayNames.size());
    probeAllowance.share(Math.max(1, state.backends().size()), gatewayNames.size());
    if (!configurationLoaded && keeper.isComplete()) {
      configurationLoaded = true;
      callerServer.startAccepting();
      LOG.infof("gateway: ready with configuration %d", state.plan().get().version());
    }
  }

  /**
   * Applies new settings. Budgets and times take effect at once; addresses and names need a
   * restart.
   */
  public void reload(FrontSettings newSettings) {
    if (newSettings.equals(settings)) {
      return;
    }
    settings = newSettings;
    parts.loop().execute(this::applyState);
    LOG.info("gateway: settings reloaded");
  }

  /** Returns whether the balancer should send new connections. */
  public boolean isReady() {
    return configurationLoaded && !stopping;
  }

  /** Returns the port for readiness checks, metrics and state dumps. */
  public int readyPort() {
    return statusServer.port();
  }

  /** Returns the port for callers. */
  public int callerPort() {
    return callerServer.port();
  }

  /**
   * Performs a planned stop: reports unready at once, serves while the balancer may still send
   * connections, then stops accepting and waits until the last request is finished or the time is
   * up. Blocks.
   */
  public void stop() throws InterruptedException {
    long stopStartNs = parts.clock().nowNs();
    long stopDeadlineNs =
        stopStartNs + (settings.bounds().stopTimeoutMs() - STOP_MARGIN_MS) * NS_PER_MS;
    long noticeEndNs =
        stopStartNs
            + Math.min(MAX_STOP_NOTICE_MS, settings.bounds().stopTimeoutMs() / 2) * NS_PER_MS;
    parts.loop().submit(callerContext::beginStop).syncUninterruptibly();
    stopping = true;
    LOG.info("gateway: stopping");
    boolean acceptingStopped = false;
    while (parts.clock().nowNs() < stopDeadlineNs) {
      TimeUnit.MILLISECONDS.sleep(STOP_POLL_MS);
      if (parts.clock().nowNs() < noticeEndNs) {
        continue;
      }
      if (!acceptingStopped) {
        callerServer.stopAccepting();
        acceptingStopped = true;
      }
      if (closeIdleAndCountOpen() == 0) {
        break;
      }
    }
    int interruptedConnections = closeIdleAndCountOpen();
    parts
        .monitor()
        .checkAtMost(Invariant.NO_CALL_CUT_OFF_BY_STOP, settings.name(), interruptedConnections, 0);
    LOG.info("gateway: stopped");
  }

  private int closeIdleAndCountOpen() {
    return parts
        .loop()
        .submit(
            () -> {
              callerContext.closeIdleConnections();
              return callerContext.connectionCount();
            })
        .syncUninterruptibly()
        .getNow();
  }
}
