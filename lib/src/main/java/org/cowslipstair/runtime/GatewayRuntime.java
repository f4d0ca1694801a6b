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
import org.cowslipstair.logic.attempt.AttemptGuard;
import org.cowslipstair.logic.attempt.AttemptSettings;
import org.cowslipstair.logic.call.CallHandler;
import org.cowslipstair.logic.call.CallPorts;
import org.cowslipstair.logic.call.CallService;
import org.cowslipstair.logic.call.CallSettings;
import org.cowslipstair.logic.config.ConfigCore;
import org.cowslipstair.logic.config.ConfigSettings;
import org.cowslipstair.logic.config.ConfigStatus;
import org.cowslipstair.logic.config.ObjectReader;
import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.logic.membership.MembershipCore;
import org.cowslipstair.logic.membership.MembershipSettings;
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

/** One gateway: membership, configuration, brokers, leases and calls, joined by a control loop. */
public final class GatewayRuntime implements AutoCloseable {
  private static final Logger LOG = Logger.getLogger(GatewayRuntime.class);
  private static final long TICK_MS = 5;
  private static final int TICKS_PER_MEMBERSHIP_TICK = 4;
  private static final long LONGEST_TURN_NS = 500_000_000L;
  private static final int DECISIONS_KEPT = 32_768;
  private static final long PROBE_TIMEOUT_MS = 250;

  private final Member self;
  private final GatewayPorts ports;
  private final long startedNs;
  private final ControlLoop loop;
  private final InvariantMonitor monitor;
  private final CountingStore store;
  private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
  private final DecisionLog decisions = new DecisionLog(DECISIONS_KEPT);
  private final CallCounter callCounter = new CallCounter();
  private final ConfigRuntime config;
  private final MembershipRuntime membership;
  private final LeaseRuntime leases;
  private final ConfigWatcher watcher;
  private final InstanceListPoller poller;
  private final GatewayHooks hooks;
  private final CallService calls;
  private final ProcessPauses pauses;
  private long ticks;
  private volatile boolean leaving;

  /** Creates a gateway; {@link #start} connects it. */
  public GatewayRuntime(Member self, GatewayPorts ports, ObjectReader reader) {
    this.self = self;
    this.ports = ports;
    this.startedNs = ports.clock().nowNs();
    this.loop = new ControlLoop("control-" + self.id().name(), ports.clock());
    this.monitor = new InvariantMonitor(new ViolationLog());
    this.store = new CountingStore(ports.store());
    GatewayEvents events = new GatewayEvents(this);
    this.config =
        new ConfigRuntime(
            new ConfigCore(ConfigSettings.defaults(), reader, monitor),
            loop,
            ports.clock(),
            events);
    this.membership =
        new MembershipRuntime(
            new MembershipCore(MembershipSettings.defaults(), self, monitor, startedNs),
            config,
            ports.peers(),
            loop,
            ports.clock(),
            events);
    this.leases = newLeases();
    RandomGenerator random = ports.random().get();
    this.watcher =
        new ConfigWatcher(
            store,
            config,
            StoreBackoff.defaults(),
            random,
            membership::wantsStoreContact,
            this::gatewayCount);
    this.poller =
        new InstanceListPoller(store, membership::onInstances, StoreBackoff.defaults(), random);
    this.hooks =
        new GatewayHooks(decisions, callCounter, ports.calls(), () -> membership.view().isolated());
    this.calls = newCalls(random);
    this.pauses = new ProcessPauses(LONGEST_TURN_NS, startedNs);
  }

  private LeaseRuntime newLeases() {
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

  private CallService newCalls(RandomGenerator random) {
    BrokerAdmission broker =
        new BrokerAdmission(leases, self.zone(), ports.clock(), config::snapshot, monitor);
    PolicyAdmissions admissions =
        new PolicyAdmissions(
            broker, config::snapshot, ports.random(), ports.clock(), ports.probe());
    AttemptGuard guard =
        new AttemptGuard(
            store,
            AttemptSettings.defaults(),
            ports.clock(),
            ports.wallClock(),
            threads,
            ports.uniqueIds());
    CallPorts callPorts =
        new CallPorts(
            config::snapshot,
            admissions,
            ports.transport(),
            guard,
            ports.clock(),
            Schedulers.computation(),
            threads);
    return new CallService(CallSettings.defaults(), callPorts, random, monitor, hooks);
  }

  private void sendProbe(BackendServer backend) {
    threads.execute(
        () -> {
          Optional<ProbeReport> report = ports.probe().probe(backend, PROBE_TIMEOUT_MS);
          loop.execute(() -> leases.onProbeReport(backend.name(), report));
        });
  }

  /**
   * Connects to the store and to peers.
   *
   * @param seeds gateways known before the platform's list was read
   */
  public void start(List<InstanceEntry> seeds) {
    membership.start();
    membership.onInstances(seeds);
    watcher.start();
    poller.start();
    loop.every(TICK_MS, this::tick);
    LOG.infof("gateway: %s started in zone \"%s\"", self.id(), self.zone());
  }

  /** Membership comes first after a pause, so that no stale lease is used. */
  private void tick(long nowNs) {
    boolean paused = pauses.turn(nowNs);
    boolean membershipDue = ticks % TICKS_PER_MEMBERSHIP_TICK == 0;
    ticks++;
    if (paused || membershipDue) {
      membership.tick(nowNs, leases.freeSlots());
    }
    leases.tick(nowNs);
  }

  /** Returns what runs the calls of this gateway. */
  public CallHandler calls() {
    return calls;
  }

  /** Returns the configuration in force. */
  public ConfigSnapshot snapshot() {
    return config.snapshot();
  }

  /** Returns the checks of this gateway. */
  public InvariantMonitor monitor() {
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

  /** Returns why this gateway wants no new calls, or empty if it takes them. */
  public Optional<String> notReadyBecause() {
    ZoneName zone = self.zone();
    if (leaving) {
      return Optional.of("gateway is stopping");
    }
    if (config.inForce().isNone()) {
      return Optional.of("no configuration yet");
    }
    if (membership.view().isolated()) {
      return Optional.of("gateway is isolated");
    }
    boolean zoneOut = config.snapshot().zone(zone).filter(found -> found.isOut()).isPresent();
    return zoneOut ? Optional.of("zone \"%s\" is out".formatted(zone)) : Optional.empty();
  }

  /** Announces a planned stop: readiness goes off, and every broker role is handed over. */
  public void prepareStop() {
    leaving = true;
    LOG.infof("gateway: %s is leaving", self.id());
    loop.execute(
        () -> {
          membership.leave();
          leases.prepareStop();
        });
  }

  /** Refuses calls that arrive from now on; those in progress go on. */
  public void refuseCalls() {
    hooks.stop();
  }

  /** Accepts a store whose identity or revision was refused. */
  public CompletableFuture<ConfigStatus> acceptStore(StoreId storeId) {
    return config.acceptStore(storeId);
  }

  /** Returns the decisions about a call that are still kept. */
  public List<DecisionLog.Step> explain(String requestId) {
    return decisions.explain(requestId);
  }

  /** Returns the whole state, as of one turn of the control loop. */
  public CompletableFuture<GatewayState> state(long callsInProgress) {
    return CompletableFuture.supplyAsync(() -> stateNow(callsInProgress), loop);
  }

  private GatewayState stateNow(long callsInProgress) {
    var inForce = config.inForce();
    return new GatewayState(
        self.id().name().value(),
        self.id().incarnation(),
        self.zone().value(),
        notReadyBecause(),
        new GatewayState.ConfigView(
            inForce.storeId().value(), inForce.storeTerm(), inForce.revision(), config.status()),
        membership.view().isolated(),
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
      counts.put(invariant, monitor.count(invariant));
    }
    return counts;
  }

  @Override
  public void close() {
    poller.close();
    watcher.close();
    membership.close();
    ports.peers().close();
    loop.close();
    threads.shutdownNow();
    LOG.infof("gateway: %s stopped", self.id());
  }
}
