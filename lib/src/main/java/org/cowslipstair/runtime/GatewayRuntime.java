package org.cowslipstair.runtime;

import io.reactivex.rxjava3.schedulers.Schedulers;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.random.RandomGenerator;
import org.cowslipstair.logic.call.CallHandler;
import org.cowslipstair.logic.call.CallPorts;
import org.cowslipstair.logic.call.CallService;
import org.cowslipstair.logic.call.CallSettings;
import org.cowslipstair.logic.config.ConfigCore;
import org.cowslipstair.logic.config.ConfigSettings;
import org.cowslipstair.logic.config.ConfigStatus;
import org.cowslipstair.logic.config.ObjectReader;
import org.cowslipstair.logic.idempotency.IdempotencyGuard;
import org.cowslipstair.logic.idempotency.IdempotencySettings;
import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.logic.membership.MembershipCore;
import org.cowslipstair.logic.membership.MembershipSettings;
import org.cowslipstair.logic.stop.PlannedStop;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.ConfigSnapshot;
import org.cowslipstair.model.config.StoreId;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.fleet.InstanceEntry;
import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.port.BackendProbe.ProbeReport;
import org.cowslipstair.runtime.config.ConfigRuntime;
import org.cowslipstair.runtime.config.ConfigWatcher;
import org.cowslipstair.runtime.config.CountingStore;
import org.cowslipstair.runtime.config.StoreBackoff;
import org.cowslipstair.runtime.lease.BrokerAdmission;
import org.cowslipstair.runtime.lease.LeaseRuntime;
import org.cowslipstair.runtime.membership.InstanceListPoller;
import org.cowslipstair.runtime.membership.MembershipRuntime;
import org.jboss.logging.Logger;

/** One gateway: membership, configuration, brokers, leases and calls, run by one control loop. */
public final class GatewayRuntime implements AutoCloseable {
  private static final Logger LOG = Logger.getLogger(GatewayRuntime.class);
  private static final long TICK_INTERVAL_MS = 5;
  private static final int TICKS_PER_MEMBERSHIP_TICK = 4;
  private static final long MAX_TICK_GAP_NS = 500_000_000L;
  private static final int DECISION_LOG_CAPACITY = 32_768;
  private static final long PROBE_TIMEOUT_MS = 250;

  private final Member self;
  private final GatewayPorts ports;
  private final long startedNs;
  private final ControlLoop loop;
  private final InvariantMonitor monitor;
  private final CountingStore store;
  private final ExecutorService virtualThreads = Executors.newVirtualThreadPerTaskExecutor();
  private final DecisionLog decisionLog = new DecisionLog(DECISION_LOG_CAPACITY);
  private final CallCounter callCounter = new CallCounter();
  private final ConfigRuntime config;
  private final MembershipRuntime membership;
  private final LeaseRuntime leases;
  private final ConfigWatcher configWatcher;
  private final InstanceListPoller instancePoller;
  private final GatewayCallHooks hooks;
  private final CallService callService;
  private final PauseDetector pauseDetector;
  private long tickCount;
  private volatile boolean isLeaving;

  /** Creates a gateway; {@link #start} connects it. */
  public GatewayRuntime(Member self, GatewayPorts ports, ObjectReader reader) {
    this.self = self;
    this.ports = ports;
    this.startedNs = ports.clock().nowNs();
    this.loop = new ControlLoop("control-" + self.id().name(), ports.clock());
    this.monitor = new InvariantMonitor(new ViolationLog());
    this.store = new CountingStore(ports.store());
    GatewayEventRouter eventRouter = new GatewayEventRouter(this);
    this.config =
        new ConfigRuntime(
            new ConfigCore(ConfigSettings.defaults(), reader, monitor),
            loop,
            ports.clock(),
            eventRouter);
    this.membership =
        new MembershipRuntime(
            new MembershipCore(MembershipSettings.defaults(), self, monitor, startedNs),
            config,
            ports.peers(),
            loop,
            ports.clock(),
            eventRouter);
    this.leases = createLeaseRuntime();
    RandomGenerator random = ports.random().get();
    this.configWatcher =
        new ConfigWatcher(
            store,
            config,
            StoreBackoff.defaults(),
            random,
            membership::needsStoreConfirmation,
            this::gatewayCount);
    this.instancePoller =
        new InstanceListPoller(store, membership::onInstanceList, StoreBackoff.defaults(), random);
    this.hooks =
        new GatewayCallHooks(
            decisionLog,
            callCounter,
            ports.callListener(),
            () -> membership.view().refusesNewWork());
    this.callService = createCallService(random);
    this.pauseDetector = new PauseDetector(MAX_TICK_GAP_NS, startedNs);
  }

  private LeaseRuntime createLeaseRuntime() {
    return new LeaseRuntime(
        self.id(),
        self.zone(),
        ports.clock(),
        loop,
        ports.random().get(),
        monitor,
        config::snapshot,
        (to, message) -> ports.peers().send(to, message),
        this::sendProbe);
  }

  private CallService createCallService(RandomGenerator random) {
    BrokerAdmission brokerAdmission =
        new BrokerAdmission(leases, self.zone(), ports.clock(), config::snapshot, monitor);
    PolicyAdmissions admissions =
        new PolicyAdmissions(
            brokerAdmission, config::snapshot, ports.random(), ports.clock(), ports.probe());
    IdempotencyGuard guard =
        new IdempotencyGuard(
            store,
            IdempotencySettings.defaults(),
            ports.clock(),
            ports.wallClock(),
            virtualThreads,
            ports.uniqueIds());
    CallPorts callPorts =
        new CallPorts(
            config::snapshot,
            admissions,
            ports.transport(),
            guard,
            ports.clock(),
            Schedulers.computation(),
            virtualThreads);
    return new CallService(CallSettings.defaults(), callPorts, random, monitor, hooks);
  }

  private void sendProbe(BackendServer backend) {
    virtualThreads.execute(
        () -> {
          Optional<ProbeReport> report = ports.probe().probe(backend, PROBE_TIMEOUT_MS);
          loop.execute(() -> leases.onProbeReport(backend.name(), report));
        });
  }

  /**
   * Connects to the store and to peers.
   *
   * @param seeds gateways to connect to before the platform's list is read
   */
  public void start(List<InstanceEntry> seeds) {
    membership.start();
    membership.onInstanceList(seeds);
    configWatcher.start();
    instancePoller.start();
    loop.schedulePeriodically(TICK_INTERVAL_MS, this::tick);
    LOG.infof("gateway: %s started in zone \"%s\"", self.id(), self.zone());
  }

  /** Runs membership first after a pause, so that no stale lease is used. */
  private void tick(long nowNs) {
    boolean wasPaused = pauseDetector.onTick(nowNs);
    boolean isMembershipDue = tickCount % TICKS_PER_MEMBERSHIP_TICK == 0;
    tickCount++;
    if (wasPaused || isMembershipDue) {
      membership.tick(nowNs, leases.freeSlots());
    }
    leases.tick(nowNs);
  }

  /** Returns the handler for the calls of this gateway. */
  public CallHandler callHandler() {
    return callService;
  }

  /** Returns the configuration in force. */
  public ConfigSnapshot configSnapshot() {
    return config.snapshot();
  }

  /** Returns the monitor of the invariants of this gateway. */
  public InvariantMonitor invariantMonitor() {
    return monitor;
  }

  /** Returns the number of gateways that are not dead, this one included. */
  public int gatewayCount() {
    return membership.view().members().size();
  }

  /** Returns the processor time of the control thread in nanoseconds. */
  public long controlCpuTimeNs() {
    return loop.cpuTimeNs();
  }

  MembershipRuntime membership() {
    return membership;
  }

  LeaseRuntime leases() {
    return leases;
  }

  GatewayPorts ports() {
    return ports;
  }

  /** Returns why this gateway is not ready for new calls; empty if it is ready. */
  public Optional<String> notReadyBecause() {
    ZoneName zone = self.zone();
    if (isLeaving) {
      return Optional.of("gateway is stopping");
    }
    if (config.versionInForce().isNone()) {
      return Optional.of("no configuration yet");
    }
    if (membership.view().refusesNewWork()) {
      return Optional.of("gateway is isolated");
    }
    boolean isZoneOut =
        config.snapshot().zone(zone).filter(configured -> configured.isOut()).isPresent();
    return isZoneOut ? Optional.of("zone \"%s\" is out".formatted(zone)) : Optional.empty();
  }

  /**
   * Announces a planned stop: not ready from now on; hands every broker role over, and takes only
   * calls that end with the stop at the latest.
   */
  public void prepareStop(PlannedStop stop) {
    isLeaving = true;
    hooks.beginStop(stop);
    LOG.infof("gateway: %s is leaving", self.id());
    loop.execute(
        () -> {
          membership.leave();
          leases.prepareStop();
        });
  }

  /** Refuses calls that arrive from now on; calls in progress continue. */
  public void refuseCalls() {
    hooks.refuseNewCalls();
  }

  /** Accepts a store whose identity or revision was refused; returns the resulting status. */
  public CompletableFuture<ConfigStatus> acceptStore(StoreId storeId) {
    return config.acceptStore(storeId);
  }

  /** Returns the decisions about a call that are still in the log, oldest first. */
  public List<DecisionLog.Step> explain(String requestId) {
    return decisionLog.explain(requestId);
  }

  /** Returns the whole state, read in one task of the control loop. */
  public CompletableFuture<GatewayState> state(long callsInProgress) {
    return CompletableFuture.supplyAsync(() -> currentState(callsInProgress), loop);
  }

  private GatewayState currentState(long callsInProgress) {
    var inForce = config.versionInForce();
    return new GatewayState(
        self.id().name().value(),
        self.id().incarnation(),
        self.zone().value(),
        notReadyBecause(),
        new GatewayState.ConfigView(
            inForce.storeId().value(), inForce.storeTerm(), inForce.revision(), config.status()),
        membership.view().refusesNewWork(),
        membership.view().members(),
        leases.status(),
        callCounter.snapshot(),
        store.counts(),
        violations(),
        new GatewayState.ControlCost(
            loop.taskCount(),
            loop.failureCount(),
            loop.cpuTimeNs(),
            ports.clock().nowNs() - startedNs),
        callsInProgress);
  }

  private Map<Invariant, Long> violations() {
    Map<Invariant, Long> counts = new EnumMap<>(Invariant.class);
    for (Invariant invariant : Invariant.values()) {
      counts.put(invariant, monitor.violationCount(invariant));
    }
    return counts;
  }

  @Override
  public void close() {
    instancePoller.close();
    configWatcher.close();
    membership.close();
    ports.peers().close();
    loop.close();
    virtualThreads.shutdownNow();
    LOG.infof("gateway: %s stopped", self.id());
  }
}
