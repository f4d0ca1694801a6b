package org.cowslipstair.runtime.lease;

import static org.cowslipstair.runtime.lease.EventQueue.NS_PER_MS;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.cowslipstair.logic.admission.Admission.AdmissionRequest;
import org.cowslipstair.logic.admission.NotAdmittedException;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.logic.lessee.Lease;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.ConfigSnapshot;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.peer.LeaseMessage;
import org.cowslipstair.model.pool.CallOutcome;
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.port.MonotonicClock;
import org.cowslipstair.runtime.PauseDetector;

/** One incarnation of a gateway in a randomised run, with the calls that it receives. */
final class SimulatedGateway {
  private static final long CANCEL_GRACE_NS = 180 * NS_PER_MS;
  private static final long MAX_TICK_GAP_NS = 400 * NS_PER_MS;
  final GatewayId id;
  final ZoneName zone;
  final LeaseRuntime runtime;
  boolean isAlive = true;
  boolean isLeaving;
  private long pausedAtNs;
  private long pausedUntilNs;
  ConfigSnapshot snapshot;
  private final BrokerAdmission admission;
  private final EventQueue events;
  private final FakeBackends backends;
  private final Random random;
  private final MonotonicClock clock;
  private final PauseDetector pauseDetector;
  private final Map<Long, BackendName> runningCalls = new HashMap<>();
  private final Set<Long> openCalls = new HashSet<>();
  private long nextCallId;
  private long refusedCalls;

  SimulatedGateway(
      GatewayId id,
      ZoneName zone,
      ConfigSnapshot snapshot,
      EventQueue events,
      FakeBackends backends,
      Random random,
      InvariantMonitor monitor,
      Network network) {
    this.id = id;
    this.zone = zone;
    this.snapshot = snapshot;
    this.events = events;
    this.backends = backends;
    this.random = random;
    long startNs = random.nextInt(1_000_000_000);
    clock = () -> startNs + events.nowNs();
    runtime =
        new LeaseRuntime(
            id,
            zone,
            clock,
            Runnable::run,
            random,
            monitor,
            () -> this.snapshot,
            (to, message) -> network.send(this, to, message),
            _ -> {});
    admission = new BrokerAdmission(runtime, zone, clock, () -> this.snapshot, monitor);
    pauseDetector = new PauseDetector(MAX_TICK_GAP_NS, clock.nowNs());
    nextCallId = id.hashCode() * 1_000_000L;
    events.schedule(random.nextInt(2_000_000), this::tick);
    events.schedule(random.nextInt(20_000_000), this::generateCalls);
  }

  /** Sends a message to a gateway. */
  interface Network {
    void send(SimulatedGateway from, GatewayName to, LeaseMessage message);
  }

  boolean isIdle() {
    return openCalls.isEmpty();
  }

  long refusedCalls() {
    return refusedCalls;
  }

  /** Suspends the process. */
  void pause(long durationNs) {
    pausedAtNs = events.nowNs();
    pausedUntilNs = pausedAtNs + durationNs;
  }

  boolean isPausedFor(long durationNs) {
    return events.nowNs() < pausedUntilNs && events.nowNs() - pausedAtNs >= durationNs;
  }

  /** Runs a task now, or once the process resumes; drops it if the process has ended. */
  void whenRunning(Runnable task) {
    if (!isAlive) {
      return;
    }
    if (events.nowNs() < pausedUntilNs) {
      events.schedule(pausedUntilNs - events.nowNs(), () -> whenRunning(task));
      return;
    }
    task.run();
  }

  private void tick() {
    whenRunning(
        () -> {
          if (pauseDetector.onTick(clock.nowNs())) {
            runtime.afterPause();
          }
          runtime.tick(clock.nowNs());
          events.schedule(2 * NS_PER_MS, this::tick);
        });
  }

  private void generateCalls() {
    whenRunning(
        () -> {
          if (!isLeaving) {
            startCall();
          }
          events.schedule((long) (random.nextDouble() * 30 * NS_PER_MS), this::generateCalls);
        });
  }

  private void startCall() {
    long deadlineNs = clock.nowNs() + (30 + random.nextInt(370)) * NS_PER_MS;
    boolean freeSlotOnly = random.nextInt(10) == 0;
    AdmissionRequest request =
        new AdmissionRequest(new ServiceName("watch"), deadlineNs, freeSlotOnly, Set.of());
    long callId = nextCallId;
    nextCallId++;
    openCalls.add(callId);
    Optional<LeasePermit> idlePermit = admission.acquireIdle(request);
    if (idlePermit.isPresent()) {
      events.schedule(
          random.nextInt(200_000),
          () -> whenRunning(() -> send(callId, idlePermit.get(), deadlineNs)));
      return;
    }
    CompletableFuture<Lease> leaseFuture = new CompletableFuture<>();
    leaseFuture.whenComplete(
        (lease, refusal) -> onAdmissionResult(callId, lease, refusal != null, deadlineNs));
    runtime.admit(callId, request, leaseFuture);
    if (random.nextInt(20) == 0) {
      events.schedule(random.nextInt(5_000_000), () -> cancelCall(callId, leaseFuture));
    }
  }

  private void cancelCall(long callId, CompletableFuture<Lease> leaseFuture) {
    whenRunning(
        () -> {
          if (!leaseFuture.isDone()) {
            openCalls.remove(callId);
            runtime.cancel(callId, leaseFuture);
          }
        });
  }

  private void onAdmissionResult(long callId, Lease lease, boolean wasRefused, long deadlineNs) {
    if (wasRefused) {
      refusedCalls++;
      openCalls.remove(callId);
      return;
    }
    events.schedule(
        random.nextInt(500_000),
        () -> whenRunning(() -> sendUnderPermit(callId, lease, deadlineNs)));
  }

  private void sendUnderPermit(long callId, Lease lease, long deadlineNs) {
    try {
      send(callId, admission.createPermit(lease), deadlineNs);
    } catch (NotAdmittedException expected) {
      openCalls.remove(callId);
    }
  }

  private void send(long callId, LeasePermit permit, long deadlineNs) {
    long nowNs = clock.nowNs();
    if (nowNs >= deadlineNs || !permit.canStartCall()) {
      openCalls.remove(callId);
      permit.release(CallReport.unused());
      return;
    }
    if (deadlineNs > permit.expiresAtNs()) {
      throw new AssertionError(
          "lease of %s expires before the deadline of its call".formatted(permit.backend()));
    }
    BackendName backend = permit.backend().name();
    String granter = permit.lease().grantingBroker().map(GatewayId::toString).orElse("fallback");
    events.trace(
        id + " call " + callId,
        permit.lease().requestNumber() + " of " + granter + " on " + backend);
    backends.start(backend, callId, id, granter);
    runningCalls.put(callId, backend);
    long serviceNs = drawServiceNs(backend);
    CallOutcome end = drawCallEnd(serviceNs, deadlineNs - nowNs);
    long callDurationNs =
        end == CallOutcome.ANSWERED ? serviceNs : Math.min(serviceNs, deadlineNs - nowNs);
    boolean isAnswered = end == CallOutcome.ANSWERED;
    long backendDurationNs =
        isAnswered
            ? callDurationNs
            : callDurationNs + (long) (random.nextDouble() * CANCEL_GRACE_NS);
    events.schedule(backendDurationNs, () -> backends.finish(backend, callId, isAnswered));
    events.schedule(
        callDurationNs,
        () ->
            whenRunning(() -> onCallFinished(callId, permit, new CallReport(end, callDurationNs))));
  }

  private CallOutcome drawCallEnd(long serviceNs, long remainingNs) {
    if (serviceNs >= remainingNs) {
      return CallOutcome.TIMED_OUT;
    }
    return switch (random.nextInt(400)) {
      case 0 -> CallOutcome.FAILED;
      case 1, 2, 3, 4 -> CallOutcome.CANCELLED;
      default -> CallOutcome.ANSWERED;
    };
  }

  private long drawServiceNs(BackendName backend) {
    double slowFactor = random.nextInt(50) == 0 ? 3 : 1;
    double coldFactor = !backends.isWarm(backend) && backends.runningCalls(backend) > 1 ? 5 : 1;
    return (long) ((2 + random.nextDouble() * 13) * slowFactor * coldFactor * NS_PER_MS);
  }

  private void onCallFinished(long callId, LeasePermit permit, CallReport report) {
    events.trace(id + " call " + callId, report);
    runningCalls.remove(callId);
    openCalls.remove(callId);
    permit.release(report);
  }

  /** Ends the process; its calls on backend servers finish within the cancel grace. */
  void crash() {
    isAlive = false;
    runningCalls.forEach(
        (callId, backend) ->
            events.schedule(
                (long) (random.nextDouble() * CANCEL_GRACE_NS),
                () -> backends.finish(backend, callId, false)));
  }
}
