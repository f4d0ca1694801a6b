package org.cowslipstair.edge;

import io.netty.channel.EventLoop;
import java.nio.channels.ServerSocketChannel;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.edge.backend.BackendTable;
import org.cowslipstair.edge.backend.NoticeReader;
import org.cowslipstair.edge.backend.Prober;
import org.cowslipstair.edge.caller.CallerContext;
import org.cowslipstair.edge.caller.CallerServer;
import org.cowslipstair.edge.exchange.ExchangeContext;
import org.cowslipstair.edge.http.ServerConnector;
import org.cowslipstair.edge.log.GatewayLog;
import org.cowslipstair.edge.log.GatewayMetrics;
import org.cowslipstair.edge.peer.PeerNetwork;
import org.cowslipstair.edge.permit.PermitService;
import org.cowslipstair.edge.quarantine.QuarantineService;
import org.cowslipstair.edge.quota.QuotaLimits;
import org.cowslipstair.edge.quota.QuotaService;
import org.cowslipstair.edge.quota.QuotaStep;
import org.cowslipstair.edge.relay.StateSync;
import org.cowslipstair.edge.rollout.RolloutService;
import org.cowslipstair.edge.rollout.VersionRouting;
import org.cowslipstair.edge.sync.CountingFeed;
import org.cowslipstair.logic.budget.ColdSendLimiter;
import org.cowslipstair.logic.budget.ProbeRateLimiter;
import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.logic.placement.CandidateOrder;
import org.cowslipstair.logic.quarantine.QuarantineTable;
import org.cowslipstair.logic.ratelimit.RateLimitCoordinator;
import org.cowslipstair.logic.stop.PlannedStop;
import org.cowslipstair.logic.traffic.TrafficStateCache;
import org.cowslipstair.model.traffic.GatewayEntry;
import org.cowslipstair.model.traffic.RequestFingerprint;
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

  /** Time before the end of a planned stop in which the last responses are written. */
  private static final long RESPONSE_MARGIN_MS = 150;

  /**
   * Maximum time that callers wait for the first configuration; after that their requests are
   * refused.
   */
  private static final long MAX_CONFIGURATION_WAIT_MS = 300;

  /** Start of the path at which an operator releases a request that is held back. */
  private static final String RELEASE_PATH = "/quarantine/release/";

  private static final long STOP_POLL_MS = 50;
  private static final long NS_PER_MS = 1_000_000L;

  private volatile FrontSettings settings;
  private final GatewayComponents components;
  private final TrafficStateCache stateCache;
  private final BackendTable table;
  private final ProbeRateLimiter probeRateLimiter;
  private final ExchangeContext exchangeContext;
  private final CallerContext callerContext;
  private final StateSync stateSync;
  private final ColdSendLimiter coldSendLimiter;
  private final PermitService permits;
  private final QuarantineService quarantine;
  private final QuotaService quotas;
  private final Optional<RolloutService> rollouts;
  private PermitService.Fleet fleet = new PermitService.Fleet(List.of(), List.of());
  private boolean gaugesRegistered;
  private volatile CallerServer callerServer;
  private volatile StatusServer statusServer;
  private volatile boolean configurationLoaded;
  private volatile boolean stopping;

  private FrontGateway(FrontSettings settings, GatewayComponents components, GatewayLog log) {
    this.settings = settings;
    this.components = components;
    this.stateCache = new TrafficStateCache(components.monitor());
    ObjectFeed feed = new CountingFeed(components.feed(), log.metrics());
    ServerConnector connector =
        new ServerConnector(
            components.loop(), components.headers().requestId(), CONNECT_TIMEOUT_MS);
    this.table = createTable(components, connector);
    PeerNetwork network =
        new PeerNetwork(components.loop(), components.clock(), name -> fleet.address(name));
    this.permits = createPermits(network);
    this.quarantine = createQuarantine(network);
    this.quotas = createQuotas(network);
    this.rollouts = createRollouts(feed, network);
    this.stateSync =
        new StateSync(settings, components.with(feed), stateCache, this::applyState, network);
    this.probeRateLimiter =
        new ProbeRateLimiter(
            settings.limits().probesPerSecond(), components.monitor(), components.clock().nowNs());
    Prober prober =
        new Prober(
            components.loop(), table, components.headers(), probeRateLimiter, components.clock());
    this.coldSendLimiter = new ColdSendLimiter(settings.name(), components.monitor());
    this.exchangeContext =
        new ExchangeContext(
            new ExchangeContext.Dependencies(
                components.loop(),
                components.clock(),
                components.random(),
                () -> this.settings,
                components.headers(),
                table,
                prober,
                new ExchangeContext.Fleet(
                    () -> fleet.names(),
                    coldSendLimiter,
                    permits,
                    quarantine,
                    rollouts.<VersionRouting>map(r -> r).orElseGet(VersionRouting::unrestricted),
                    new CandidateOrder(settings.name(), settings.zone(), components.random()),
                    List.of(QuotaStep.factory(quotas, components.clock())),
                    components.monitor()),
                log));
    this.callerContext =
        new CallerContext(
            exchangeContext,
            log,
            table,
            components.headers(),
            components.clock(),
            stateSync::isCurrent,
            settings.limits().maxMemoryBytes() / BODY_MEMORY_DIVISOR);
  }

  private static BackendTable createTable(GatewayComponents components, ServerConnector connector) {
    return new BackendTable(
        connector, new NoticeReader(components.headers()), components.random(), components.clock());
  }

  private Optional<RolloutService> createRollouts(ObjectFeed feed, PeerNetwork network) {
    return settings
        .policies()
        .rollout()
        .map(
            policy ->
                new RolloutService(
                    new RolloutService.Peers(settings.name(), () -> fleet.names(), network),
                    components.with(feed),
                    policy));
  }

  private PermitService createPermits(PeerNetwork network) {
    return new PermitService(
        settings.name(),
        components.loop(),
        components.clock(),
        new RateLimitCoordinator(settings.name(), components.monitor()),
        table,
        () -> fleet,
        network);
  }

  private QuarantineService createQuarantine(PeerNetwork network) {
    return new QuarantineService(
        settings.name(),
        components.loop(),
        components.clock(),
        components.random(),
        new QuarantineTable(settings.name(), components.monitor()),
        () -> fleet.names(),
        settings.relay().firstStart(),
        network);
  }

  private QuotaService createQuotas(PeerNetwork network) {
    QuotaLimits limits =
        new QuotaLimits(() -> settings.policies().quota(), () -> table.state().plan());
    return QuotaService.create(settings, components, limits, () -> fleet.names(), network);
  }

  /**
   * Starts a gateway; it is ready once it has read the configuration.
   *
   * @param socket bound socket for callers
   */
  public static FrontGateway start(
      FrontSettings settings,
      GatewayComponents components,
      GatewayLog log,
      ServerSocketChannel socket)
      throws InterruptedException {
    FrontGateway gateway = new FrontGateway(settings, components, log);
    gateway.openServers(log, socket);
    gateway.stateSync.start();
    gateway.quarantine.start();
    return gateway;
  }

  private void openServers(GatewayLog log, ServerSocketChannel socket) throws InterruptedException {
    EventLoop loop = components.loop();
    statusServer =
        StatusServer.open(
            loop,
            settings.readyAddress(),
            new StatusServer.Content(
                Map.of(
                    "/readyz", () -> new StatusServer.Page(isReady(), ""),
                    "/metrics", () -> new StatusServer.Page(true, metrics(log.metrics())),
                    "/state", () -> new StatusServer.Page(true, stateJson())),
                Map.of(RELEASE_PATH, this::releaseRequest)));
    callerServer = CallerServer.open(loop, socket, callerContext);
    loop.schedule(callerServer::startAccepting, MAX_CONFIGURATION_WAIT_MS, TimeUnit.MILLISECONDS);
  }

  private Optional<StatusServer.Page> releaseRequest(String digits) {
    return RequestFingerprint.parse(digits)
        .filter(quarantine::clear)
        .map(_ -> new StatusServer.Page(true, ""));
  }

  private String stateJson() {
    return new StateDump(
            stateCache,
            table,
            stateSync,
            permits,
            quarantine,
            quotas,
            rollouts,
            exchangeContext::waitingRequests)
        .json(settings, isReady(), callerContext.connectionCount(), components.clock().nowNs());
  }

  private String metrics(GatewayMetrics metrics) {
    if (!gaugesRegistered) {
      gaugesRegistered = true;
      new GatewayGauges(
              stateCache,
              table,
              stateSync,
              probeRateLimiter,
              coldSendLimiter,
              permits,
              quarantine,
              quotas,
              rollouts,
              callerContext,
              () -> fleet.names().size(),
              components.clock())
          .register(metrics);
    }
    return metrics.text();
  }

  private void applyState() {
    for (TrafficStateCache.Fault fault : stateCache.drainFaults()) {
      LOG.warnf(
          "store: %s \"%s\" cannot be read: %s", fault.collection(), fault.name(), fault.reason());
    }
    if (rollouts.filter(r -> !r.maySend(stateCache.revision(Collection.ROLLOUTS))).isPresent()) {
      return;
    }
    TrafficState state = stateCache.state(components.clock().nowNs());
    logNewConfiguration(state);
    table.update(state);
    List<GatewayEntry> gateways = stateCache.gateways();
    if (gateways != fleet.gateways()) {
      fleet = new PermitService.Fleet(gateways, gateways.stream().map(GatewayEntry::name).toList());
    }
    quotas.onConfiguration();
    rollouts.ifPresent(r -> r.update(stateCache.items(Collection.ROLLOUTS), state.backends()));
    int gatewayCount = gateways.size();
    table.setGatewayCount(gatewayCount);
    probeRateLimiter.setShare(Math.max(1, state.backends().size()), gatewayCount);
    if (!configurationLoaded && stateCache.isComplete()) {
      configurationLoaded = true;
      callerServer.startAccepting();
      LOG.infof("gateway: ready with configuration %d", state.plan().get().version());
    }
  }

  private void logNewConfiguration(TrafficState state) {
    state
        .plan()
        .filter(plan -> plan.version() != table.state().plan().map(p -> p.version()).orElse(0L))
        .ifPresent(
            plan ->
                LOG.infof(
                    "gateway: configuration %d in force, revision %d, from %s",
                    plan.version(),
                    stateCache.revision(Collection.CONFIGURATION),
                    stateSync.isWatching() ? "the store" : stateSync.suppliers().keySet()));
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
    components.loop().execute(this::applyState);
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
   * up. Refuses requests that may not be finished by then. Blocks.
   */
  public void stop() throws InterruptedException {
    long stopStartNs = components.clock().nowNs();
    long stopDeadlineNs =
        stopStartNs + (settings.limits().stopTimeoutMs() - STOP_MARGIN_MS) * NS_PER_MS;
    long noticeEndNs =
        stopStartNs
            + Math.min(MAX_STOP_NOTICE_MS, settings.limits().stopTimeoutMs() / 2) * NS_PER_MS;
    PlannedStop stop =
        new PlannedStop(noticeEndNs, stopDeadlineNs - RESPONSE_MARGIN_MS * NS_PER_MS);
    components.loop().submit(() -> callerContext.beginStop(stop)).syncUninterruptibly();
    stopping = true;
    LOG.info("gateway: stopping");
    boolean acceptingStopped = false;
    while (components.clock().nowNs() < stopDeadlineNs) {
      TimeUnit.MILLISECONDS.sleep(STOP_POLL_MS);
      if (components.clock().nowNs() < noticeEndNs) {
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
    components
        .monitor()
        .checkAtMost(Invariant.NO_CALL_CUT_OFF_BY_STOP, settings.name(), interruptedConnections, 0);
    LOG.info("gateway: stopped");
  }

  private int closeIdleAndCountOpen() {
    return components
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
