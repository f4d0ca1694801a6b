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
import org.cowslipstair.model.pool.CallEnd;
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.port.MonotonicClock;
import org.cowslipstair.runtime.ProcessPauses;

/** One process life of a gateway in a randomised run, with the calls that come to it. */
final class SimulatedGateway {
  private static final long GRACE_NS = 180 * NS_PER_MS;
  private static final long LONGEST_TURN_NS = 400 * NS_PER_MS;
  final GatewayId id;
  final ZoneName zone;
  final LeaseRuntime runtime;
  boolean alive = true;
  boolean leaving;
  private long pausedAtNs;
  private long pausedUntilNs;
  ConfigSnapshot snapshot;
  private final BrokerAdmission admission;
  private final EventQueue events;
  private final FakeBackends backends;
  private final Random random;
  private final MonotonicClock clock;
  private final ProcessPauses pauses;
  private final Map<Long, BackendName> running = new HashMap<>();
  private final Set<Long> open = new HashSet<>();
  private long nextCall;
  private long refused;

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
    pauses = new ProcessPauses(LONGEST_TURN_NS, clock.nowNs());
    nextCall = id.hashCode() * 1_000_000L;
    events.in(random.nextInt(2_000_000), this::tick);
    events.in(random.nextInt(20_000_000), this::nextCall);
  }

  /** Sends a message to a gateway. */
  interface Network {
    void send(SimulatedGateway from, GatewayName to, LeaseMessage message);
  }

  boolean isIdle() {
    return open.isEmpty();
  }

  long refused() {
    return refused;
  }

  /** Holds the process. */
  void pause(long lengthNs) {
    pausedAtNs = events.nowNs();
    pausedUntilNs = pausedAtNs + lengthNs;
  }

  boolean isPausedFor(long lengthNs) {
    return events.nowNs() < pausedUntilNs && events.nowNs() - pausedAtNs >= lengthNs;
  }

  /** Runs a task now, or when the process goes on. */
  void whenRunning(Runnable task) {
    if (!alive) {
      return;
    }
    if (events.nowNs() < pausedUntilNs) {
      events.in(pausedUntilNs - events.nowNs(), () -> whenRunning(task));
      return;
    }
    task.run();
  }

  private void tick() {
    whenRunning(
        () -> {
          if (pauses.turn(clock.nowNs())) {
            runtime.afterPause();
          }
          runtime.tick(clock.nowNs());
          events.in(2 * NS_PER_MS, this::tick);
        });
  }

  private void nextCall() {
    whenRunning(
        () -> {
          if (!leaving) {
            call();
          }
          events.in((long) (random.nextDouble() * 30 * NS_PER_MS), this::nextCall);
        });
  }

  private void call() {
    long deadlineNs = clock.nowNs() + (30 + random.nextInt(370)) * NS_PER_MS;
    boolean freeSlotOnly = random.nextInt(10) == 0;
    AdmissionRequest request =
        new AdmissionRequest(new ServiceName("watch"), deadlineNs, freeSlotOnly, Set.of());
    long call = nextCall;
    nextCall++;
    open.add(call);
    Optional<LeasePermit> kept = admission.takeIdle(request);
    if (kept.isPresent()) {
      events.in(
          random.nextInt(200_000), () -> whenRunning(() -> send(call, kept.get(), deadlineNs)));
      return;
    }
    CompletableFuture<Lease> answer = new CompletableFuture<>();
    answer.whenComplete((lease, refusal) -> answered(call, lease, refusal != null, deadlineNs));
    runtime.admit(call, request, answer);
    if (random.nextInt(20) == 0) {
      events.in(random.nextInt(5_000_000), () -> giveUp(call, answer));
    }
  }

  private void giveUp(long call, CompletableFuture<Lease> answer) {
    whenRunning(
        () -> {
          if (!answer.isDone()) {
            open.remove(call);
            runtime.cancel(call, answer);
          }
        });
  }

  private void answered(long call, Lease lease, boolean wasRefused, long deadlineNs) {
    if (wasRefused) {
      refused++;
      open.remove(call);
      return;
    }
    events.in(random.nextInt(500_000), () -> whenRunning(() -> permit(call, lease, deadlineNs)));
  }

  private void permit(long call, Lease lease, long deadlineNs) {
    try {
      send(call, admission.permit(lease), deadlineNs);
    } catch (NotAdmittedException expected) {
      open.remove(call);
    }
  }

  private void send(long call, LeasePermit permit, long deadlineNs) {
    long nowNs = clock.nowNs();
    if (nowNs >= deadlineNs || !permit.mayStart()) {
      open.remove(call);
      permit.release(CallReport.unused());
      return;
    }
    if (deadlineNs > permit.expiresAtNs()) {
      throw new AssertionError("lease of %s ends before its call".formatted(permit.backend()));
    }
    BackendName backend = permit.backend().name();
    String granter = permit.lease().granter().map(GatewayId::toString).orElse("fallback");
    events.trace(
        id + " call " + call, permit.lease().requestNumber() + " of " + granter + " on " + backend);
    backends.start(backend, call, id, granter);
    running.put(call, backend);
    long serviceNs = serviceNs(backend);
    CallEnd end = end(serviceNs, deadlineNs - nowNs);
    long untilNs = end == CallEnd.ANSWERED ? serviceNs : Math.min(serviceNs, deadlineNs - nowNs);
    boolean over = end == CallEnd.ANSWERED;
    long backendUntilNs = over ? untilNs : untilNs + (long) (random.nextDouble() * GRACE_NS);
    events.in(backendUntilNs, () -> backends.end(backend, call, over));
    events.in(untilNs, () -> whenRunning(() -> ended(call, permit, new CallReport(end, untilNs))));
  }

  private CallEnd end(long serviceNs, long remainingNs) {
    if (serviceNs >= remainingNs) {
      return CallEnd.TIMED_OUT;
    }
    return switch (random.nextInt(400)) {
      case 0 -> CallEnd.FAILED;
      case 1, 2, 3, 4 -> CallEnd.CANCELLED;
      default -> CallEnd.ANSWERED;
    };
  }

  private long serviceNs(BackendName backend) {
    double slow = random.nextInt(50) == 0 ? 3 : 1;
    double cold = !backends.isWarm(backend) && backends.running(backend) > 1 ? 5 : 1;
    return (long) ((2 + random.nextDouble() * 13) * slow * cold * NS_PER_MS);
  }

  private void ended(long call, LeasePermit permit, CallReport report) {
    events.trace(id + " call " + call, report);
    running.remove(call);
    open.remove(call);
    permit.release(report);
  }

  /** Ends the process; what it runs on backend servers ends within the grace. */
  void crash() {
    alive = false;
    running.forEach(
        (call, backend) ->
            events.in(
                (long) (random.nextDouble() * GRACE_NS), () -> backends.end(backend, call, false)));
  }
}
