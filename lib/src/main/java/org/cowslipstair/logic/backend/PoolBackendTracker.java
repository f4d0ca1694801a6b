package org.cowslipstair.logic.backend;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.peer.LeaseMessage.HandOverBackend;
import org.cowslipstair.model.pool.BackendState;
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.model.pool.PoolId;
import org.cowslipstair.port.BackendProbe.Health;
import org.cowslipstair.port.BackendProbe.ProbeReport;

/**
 * Tracks the state and limit of the backend servers of one pool for its broker. Results of calls
 * take precedence; probes are requested only where results are missing. Not thread-safe.
 */
public final class PoolBackendTracker {
  private static final double NORMAL_QUANTILE = 0.99;
  private static final int NORMAL_WINDOW = 1024;
  private static final int NORMAL_MIN_SAMPLES = 20;
  private static final double SLOW_POOL_FACTOR_SHARE = 1.0 / 3;
  private static final int MIN_OTHER_BACKENDS_TO_COMPARE = 2;
  private static final long SLOW_DETECTION_VALIDITY_NS = 1_000_000_000L;
  private static final int FAILED_PROBES_TO_COLD = 2;
  private final PoolId pool;
  private final BackendTrackerSettings settings;
  private final RandomGenerator random;
  private final InvariantMonitor monitor;
  private final SortedMap<BackendName, TrackedBackend> backends = new TreeMap<>();
  private final Map<BackendName, Integer> slowRunLengths = new HashMap<>();
  private final Map<BackendName, Integer> failedProbes = new HashMap<>();
  private final Map<BackendName, Long> slowDetectedAtNs = new HashMap<>();
  private final Set<BackendName> pendingProbes = new HashSet<>();
  private final RecentQuantile normalServiceTimes =
      new RecentQuantile(NORMAL_QUANTILE, NORMAL_WINDOW, NORMAL_MIN_SAMPLES);
  private final RecentQuantile responseGaps =
      new RecentQuantile(NORMAL_QUANTILE, NORMAL_WINDOW, NORMAL_MIN_SAMPLES);

  /** Creates a tracker without backend servers. */
  public PoolBackendTracker(
      PoolId pool,
      BackendTrackerSettings settings,
      RandomGenerator random,
      InvariantMonitor monitor) {
    this.pool = pool;
    this.settings = settings;
    this.random = random;
    this.monitor = monitor;
  }

  /** Returns the pool. */
  public PoolId pool() {
    return pool;
  }

  /**
   * Sets the members of the pool. New and returning members are cold.
   *
   * @param acceptingNewCalls members that are neither leaving nor in a zone that is out of service
   */
  public void configure(
      List<BackendServer> members, Set<BackendName> acceptingNewCalls, long nowNs) {
    Set<BackendName> names = new HashSet<>();
    for (BackendServer member : members) {
      names.add(member.name());
      backends
          .computeIfAbsent(
              member.name(), _ -> new TrackedBackend(member, settings, random, monitor, nowNs))
          .configure(member, acceptingNewCalls.contains(member.name()), nowNs);
    }
    backends.keySet().retainAll(names);
    slowRunLengths.keySet().retainAll(names);
    slowDetectedAtNs.keySet().retainAll(names);
    failedProbes.keySet().retainAll(names);
    pendingProbes.retainAll(names);
  }

  /** Returns the maximum number of concurrent calls; 0 for a backend server not in the pool. */
  public int limit(BackendName name) {
    TrackedBackend backend = backends.get(name);
    return backend == null ? 0 : backend.limit();
  }

  /** Returns the state of a backend server; leaving if it is not in the pool. */
  public BackendState state(BackendName name) {
    TrackedBackend backend = backends.get(name);
    return backend == null ? new BackendState.Leaving() : backend.state();
  }

  /** Records that a slot was granted for a call. */
  public void callStarted(BackendName name, long callNumber, long nowNs) {
    TrackedBackend backend = backends.get(name);
    if (backend != null) {
      backend.callStarted(callNumber, nowNs);
    }
  }

  /** Records the report of a call whose slot was released. */
  public void callEnded(BackendName name, long callNumber, CallReport report, long nowNs) {
    TrackedBackend backend = backends.get(name);
    if (backend == null) {
      return;
    }
    OptionalLong startNs = backend.removeRunningCall(callNumber);
    long estimatedStartNs = startNs.orElse(nowNs - report.serviceTimeNs());
    if (backend.isLeaving() || !backend.canLowerLimit(estimatedStartNs)) {
      return;
    }
    switch (report.end()) {
      case ANSWERED -> recordResponse(backend, startNs, report.serviceTimeNs(), nowNs);
      case SHED -> {
        backend.recordResult(nowNs);
        backend.markShedding(nowNs);
      }
      case FAILED -> {
        backend.recordResult(nowNs);
        backend.recordFailure(nowNs);
      }
      case TIMED_OUT -> recordTimeout(backend, startNs, report.serviceTimeNs(), nowNs);
      case CANCELLED -> backend.recordCallWithoutResponse(startNs, nowNs);
      default -> {}
    }
  }

  /** Records the result of a probe, empty if it failed. It can lower a limit but never raise it. */
  public void recordProbe(BackendName name, Optional<ProbeReport> report, long nowNs) {
    TrackedBackend backend = backends.get(name);
    if (backend == null || backend.isLeaving()) {
      return;
    }
    if (report.isEmpty()) {
      int consecutiveFailures = failedProbes.merge(name, 1, Integer::sum);
      if (consecutiveFailures >= FAILED_PROBES_TO_COLD) {
        failedProbes.remove(name);
        backend.markCold(nowNs);
      }
      return;
    }
    failedProbes.remove(name);
    backend.setReportedSlots(report.get().slots(), nowNs);
    Health health = report.get().health();
    switch (health) {
      case COLD -> backend.markCold(nowNs);
      case DRAINING, SHEDDING -> backend.markShedding(nowNs);
      default -> {}
    }
  }

  /**
   * Checks for overdue responses and missing results, and ends backoffs that have passed.
   *
   * @return backend servers to probe now; the probes are already charged to their budgets
   */
  public List<BackendName> tick(long nowNs) {
    List<BackendName> toProbe = new ArrayList<>();
    for (TrackedBackend backend : backends.values()) {
      if (backend.isLeaving()) {
        continue;
      }
      checkOverdueResponse(backend, nowNs);
      backend.endBackoff(nowNs);
      checkMissingResults(backend, nowNs);
      if (needsProbe(backend, nowNs) && backend.probeBudget().tryTake(nowNs)) {
        pendingProbes.remove(backend.server().name());
        toProbe.add(backend.server().name());
      }
    }
    return toProbe;
  }

  /** Adopts the states and limits handed over by a broker that ended its term. */
  public void adopt(List<HandOverBackend> handed, long nowNs) {
    for (HandOverBackend entry : handed) {
      TrackedBackend backend = backends.get(entry.backend());
      if (backend != null) {
        backend.adopt(entry.state(), entry.limit(), nowNs);
      }
    }
  }

  /** Returns the states and limits, to hand over to the next broker. */
  public List<HandOverBackend> handOver() {
    List<HandOverBackend> handed = new ArrayList<>();
    for (TrackedBackend backend : backends.values()) {
      handed.add(new HandOverBackend(backend.server().name(), backend.state(), backend.limit()));
    }
    return handed;
  }

  /** Discards all results and running calls, as after a pause of this process. */
  public void resetAll(long nowNs) {
    slowRunLengths.clear();
    slowDetectedAtNs.clear();
    failedProbes.clear();
    pendingProbes.clear();
    for (TrackedBackend backend : backends.values()) {
      backend.clearRunningCalls();
      if (!backend.isLeaving()) {
        backend.reset(nowNs);
      }
    }
  }

  private void recordResponse(
      TrackedBackend backend, OptionalLong startNs, long serviceTimeNs, long nowNs) {
    backend.recordResult(nowNs);
    if (completesSlowRun(backend, serviceTimeNs)) {
      onSlowDetected(backend, serviceTimeNs, nowNs);
      return;
    }
    normalServiceTimes.add(serviceTimeNs);
    backend.recordCallWithoutResponse(startNs, nowNs);
    if (slowRunLengths.containsKey(backend.server().name())) {
      backend.resetSuccesses();
      checkOverdueResponse(backend, nowNs);
      return;
    }
    responseGaps.add(backend.slotTimeWithoutResponseNs(nowNs));
    backend.recordNormalResponse(nowNs);
    slowDetectedAtNs.remove(backend.server().name());
    if (backend.canRaiseLimit(startNs)) {
      backend.recordSuccess(nowNs);
    }
  }

  private void recordTimeout(
      TrackedBackend backend, OptionalLong startNs, long serviceTimeNs, long nowNs) {
    boolean hasTightDeadline =
        normalServiceTimes.estimate().isPresent() && !isFarAboveNormal(serviceTimeNs);
    if (hasTightDeadline) {
      backend.recordCallWithoutResponse(startNs, nowNs);
      return;
    }
    backend.recordResult(nowNs);
    backend.recordFailure(nowNs);
  }

  private void onSlowDetected(TrackedBackend backend, long serviceTimeNs, long nowNs) {
    slowRunLengths.remove(backend.server().name());
    if (isPoolSlow(backend, nowNs)) {
      normalServiceTimes.add(serviceTimeNs);
      pendingProbes.add(backend.server().name());
      backend.resetSuccesses();
      return;
    }
    slowDetectedAtNs.put(backend.server().name(), nowNs);
    backend.markCold(nowNs);
  }

  private boolean completesSlowRun(TrackedBackend backend, long serviceTimeNs) {
    OptionalLong p99 = normalServiceTimes.estimate();
    if (p99.isEmpty() || serviceTimeNs <= settings.slowRunFactor() * p99.getAsLong()) {
      slowRunLengths.remove(backend.server().name());
      return false;
    }
    return slowRunLengths.merge(backend.server().name(), 1, Integer::sum)
        >= settings.slowRunLength();
  }

  private void checkOverdueResponse(TrackedBackend backend, long nowNs) {
    boolean isStuck =
        isResponseOverdue(backend, settings.farAboveFactor(), nowNs)
            && backend.timeWithoutResponseNs(nowNs) >= settings.farAboveFloorNs();
    if (backend.limit() <= 1 || !isStuck) {
      return;
    }
    if (isPoolSlow(backend, nowNs)) {
      pendingProbes.add(backend.server().name());
      return;
    }
    slowDetectedAtNs.put(backend.server().name(), nowNs);
    backend.markCold(nowNs);
  }

  /** Returns whether more than half of the other backend servers are slow too. */
  private boolean isPoolSlow(TrackedBackend candidate, long nowNs) {
    int otherCount = 0;
    int slowCount = 0;
    for (TrackedBackend other : backends.values()) {
      if (other == candidate || other.isLeaving()) {
        continue;
      }
      otherCount++;
      if (isSlow(other, nowNs)) {
        slowCount++;
      }
    }
    return otherCount >= MIN_OTHER_BACKENDS_TO_COMPARE && slowCount * 2 > otherCount;
  }

  private boolean isSlow(TrackedBackend backend, long nowNs) {
    BackendName name = backend.server().name();
    Long detectedAtNs = slowDetectedAtNs.get(name);
    if (detectedAtNs != null && nowNs - detectedAtNs < SLOW_DETECTION_VALIDITY_NS) {
      return true;
    }
    double factor = settings.farAboveFactor() * SLOW_POOL_FACTOR_SHARE;
    return slowRunLengths.containsKey(name) || isResponseOverdue(backend, factor, nowNs);
  }

  /** Returns whether the slot time without a normal response exceeds a multiple of the pool's. */
  private boolean isResponseOverdue(TrackedBackend backend, double factor, long nowNs) {
    if (normalServiceTimes.estimate().isEmpty()) {
      return false;
    }
    long usualNs =
        Math.max(normalServiceTimes.estimate().getAsLong(), responseGaps.estimate().orElse(0));
    return backend.slotTimeWithoutResponseNs(nowNs) > factor * usualNs;
  }

  private boolean isFarAboveNormal(long timeNs) {
    OptionalLong p99 = normalServiceTimes.estimate();
    if (p99.isEmpty() || timeNs < settings.farAboveFloorNs()) {
      return false;
    }
    return timeNs > settings.farAboveFactor() * p99.getAsLong();
  }

  private void checkMissingResults(TrackedBackend backend, long nowNs) {
    boolean lacksResults = nowNs - backend.lastResultAtNs() > settings.coldAfterSilenceNs();
    if (lacksResults && backend.limit() > 1) {
      backend.markCold(nowNs);
    }
  }

  private boolean needsProbe(TrackedBackend backend, long nowNs) {
    boolean lacksResults = nowNs - backend.lastResultAtNs() > settings.probeAfterSilenceNs();
    return lacksResults
        || backend.isHalfwayToSecondCall()
        || pendingProbes.contains(backend.server().name());
  }
}
