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
import org.cowslipstair.model.peer.LeaseMessage.HandedBackend;
import org.cowslipstair.model.pool.BackendState;
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.model.pool.PoolId;
import org.cowslipstair.port.BackendProbe.Health;
import org.cowslipstair.port.BackendProbe.ProbeReport;

/**
 * State and limit of the backend servers of one pool, as its broker sees them. Results of calls
 * come first; a probe is asked for only where there are none. Driven by one thread.
 */
public final class PoolBackends {
  private static final double NORMAL_QUANTILE = 0.99;
  private static final int NORMAL_WINDOW = 1024;
  private static final int NORMAL_MIN_SAMPLES = 20;
  private static final double SHARE_OF_SLOW_POOL = 1.0 / 3;
  private static final int MIN_OTHERS_TO_COMPARE = 2;
  private static final long SLOW_SIGN_VALID_NS = 1_000_000_000L;
  private static final int EMPTY_PROBES_TO_COLD = 2;
  private final PoolId pool;
  private final BackendTrackerSettings settings;
  private final RandomGenerator random;
  private final InvariantMonitor monitor;
  private final SortedMap<BackendName, TrackedBackend> backends = new TreeMap<>();
  private final Map<BackendName, Integer> slowRuns = new HashMap<>();
  private final Map<BackendName, Integer> emptyProbes = new HashMap<>();
  private final Map<BackendName, Long> slowSignAtNs = new HashMap<>();
  private final Set<BackendName> doubtful = new HashSet<>();
  private final RecentQuantile normal =
      new RecentQuantile(NORMAL_QUANTILE, NORMAL_WINDOW, NORMAL_MIN_SAMPLES);
  private final RecentQuantile gaps =
      new RecentQuantile(NORMAL_QUANTILE, NORMAL_WINDOW, NORMAL_MIN_SAMPLES);

  /** Creates a tracker without backend servers. */
  public PoolBackends(
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
   * Takes the members of the pool. New and returning ones are cold.
   *
   * @param takingNewCalls members that neither leave nor are in a zone that is out
   */
  public void configure(List<BackendServer> members, Set<BackendName> takingNewCalls, long nowNs) {
    Set<BackendName> names = new HashSet<>();
    for (BackendServer member : members) {
      names.add(member.name());
      backends
          .computeIfAbsent(
              member.name(), _ -> new TrackedBackend(member, settings, random, monitor, nowNs))
          .configure(member, takingNewCalls.contains(member.name()), nowNs);
    }
    backends.keySet().retainAll(names);
    slowRuns.keySet().retainAll(names);
    slowSignAtNs.keySet().retainAll(names);
    emptyProbes.keySet().retainAll(names);
    doubtful.retainAll(names);
  }

  /** Returns how many calls a backend server may have at once; 0 if it is not a member. */
  public int limit(BackendName name) {
    TrackedBackend backend = backends.get(name);
    return backend == null ? 0 : backend.limit();
  }

  /** Returns the state of a backend server; leaving if it is not a member. */
  public BackendState state(BackendName name) {
    TrackedBackend backend = backends.get(name);
    return backend == null ? new BackendState.Leaving() : backend.state();
  }

  /** Takes note that a slot was granted. */
  public void started(BackendName name, long leaseNumber, long nowNs) {
    TrackedBackend backend = backends.get(name);
    if (backend != null) {
      backend.started(leaseNumber, nowNs);
    }
  }

  /** Takes note that a slot was given back. */
  public void ended(BackendName name, long leaseNumber, CallReport report, long nowNs) {
    TrackedBackend backend = backends.get(name);
    if (backend == null) {
      return;
    }
    OptionalLong startNs = backend.ended(leaseNumber);
    long estimatedStartNs = startNs.orElse(nowNs - report.serviceTimeNs());
    if (backend.isLeaving() || !backend.mayLower(estimatedStartNs)) {
      return;
    }
    switch (report.end()) {
      case ANSWERED -> answered(backend, startNs, report.serviceTimeNs(), nowNs);
      case SHED -> {
        backend.noteResult(nowNs);
        backend.shed(nowNs);
      }
      case FAILED -> {
        backend.noteResult(nowNs);
        backend.failed(nowNs);
      }
      case TIMED_OUT -> timedOut(backend, startNs, report.serviceTimeNs(), nowNs);
      case CANCELLED -> backend.unanswered(startNs, nowNs);
      default -> {}
    }
  }

  /** Takes the result of a probe. It can lower a limit and never raises one. */
  public void probed(BackendName name, Optional<ProbeReport> report, long nowNs) {
    TrackedBackend backend = backends.get(name);
    if (backend == null || backend.isLeaving()) {
      return;
    }
    if (report.isEmpty()) {
      int inRow = emptyProbes.merge(name, 1, Integer::sum);
      if (inRow >= EMPTY_PROBES_TO_COLD) {
        emptyProbes.remove(name);
        backend.cold(nowNs);
      }
      return;
    }
    emptyProbes.remove(name);
    backend.reportedSlots(report.get().slots(), nowNs);
    Health health = report.get().health();
    switch (health) {
      case COLD -> backend.cold(nowNs);
      case DRAINING, SHEDDING -> backend.shed(nowNs);
      default -> {}
    }
  }

  /**
   * Looks at the ages of running calls and ends backoffs.
   *
   * @return backend servers to probe now; their budgets are already charged
   */
  public List<BackendName> tick(long nowNs) {
    List<BackendName> toProbe = new ArrayList<>();
    for (TrackedBackend backend : backends.values()) {
      if (backend.isLeaving()) {
        continue;
      }
      checkAge(backend, nowNs);
      backend.endBackoff(nowNs);
      checkSilence(backend, nowNs);
      if (wantsProbe(backend, nowNs) && backend.probeBudget().tryTake(nowNs)) {
        doubtful.remove(backend.server().name());
        toProbe.add(backend.server().name());
      }
    }
    return toProbe;
  }

  /** Takes over the knowledge of a broker that stopped as planned. */
  public void adopt(List<HandedBackend> handed, long nowNs) {
    for (HandedBackend entry : handed) {
      TrackedBackend backend = backends.get(entry.backend());
      if (backend != null) {
        backend.adopt(entry.state(), entry.limit(), nowNs);
      }
    }
  }

  /** Returns what is known, for the next broker. */
  public List<HandedBackend> handOver() {
    List<HandedBackend> handed = new ArrayList<>();
    for (TrackedBackend backend : backends.values()) {
      handed.add(new HandedBackend(backend.server().name(), backend.state(), backend.limit()));
    }
    return handed;
  }

  /** Forgets results and running calls, as after a pause of this process. */
  public void forgetAll(long nowNs) {
    slowRuns.clear();
    slowSignAtNs.clear();
    emptyProbes.clear();
    doubtful.clear();
    for (TrackedBackend backend : backends.values()) {
      backend.forgetRunning();
      if (!backend.isLeaving()) {
        backend.forget(nowNs);
      }
    }
  }

  private void answered(
      TrackedBackend backend, OptionalLong startNs, long serviceTimeNs, long nowNs) {
    backend.noteResult(nowNs);
    if (isSlowRun(backend, serviceTimeNs)) {
      slowSign(backend, serviceTimeNs, nowNs);
      return;
    }
    normal.add(serviceTimeNs);
    backend.unanswered(startNs, nowNs);
    if (slowRuns.containsKey(backend.server().name())) {
      backend.interruptedRun();
      checkAge(backend, nowNs);
      return;
    }
    gaps.add(backend.unansweredSlotTimeNs(nowNs));
    backend.answeredNormally(nowNs);
    slowSignAtNs.remove(backend.server().name());
    if (backend.mayRaise(startNs)) {
      backend.succeeded(nowNs);
    }
  }

  private void timedOut(
      TrackedBackend backend, OptionalLong startNs, long serviceTimeNs, long nowNs) {
    boolean tightDeadline = normal.value().isPresent() && !isFarAbove(serviceTimeNs);
    if (tightDeadline) {
      backend.unanswered(startNs, nowNs);
      return;
    }
    backend.noteResult(nowNs);
    backend.failed(nowNs);
  }

  private void slowSign(TrackedBackend backend, long serviceTimeNs, long nowNs) {
    slowRuns.remove(backend.server().name());
    if (isPoolSlow(backend, nowNs)) {
      normal.add(serviceTimeNs);
      doubtful.add(backend.server().name());
      backend.interruptedRun();
      return;
    }
    slowSignAtNs.put(backend.server().name(), nowNs);
    backend.cold(nowNs);
  }

  private boolean isSlowRun(TrackedBackend backend, long serviceTimeNs) {
    OptionalLong p99 = normal.value();
    if (p99.isEmpty() || serviceTimeNs <= settings.slowRunFactor() * p99.getAsLong()) {
      slowRuns.remove(backend.server().name());
      return false;
    }
    return slowRuns.merge(backend.server().name(), 1, Integer::sum) >= settings.slowRunLength();
  }

  private void checkAge(TrackedBackend backend, long nowNs) {
    boolean stuck =
        isUnanswered(backend, settings.farAboveFactor(), nowNs)
            && backend.unansweredForNs(nowNs) >= settings.farAboveFloorNs();
    if (backend.limit() <= 1 || !stuck) {
      return;
    }
    if (isPoolSlow(backend, nowNs)) {
      doubtful.add(backend.server().name());
      return;
    }
    slowSignAtNs.put(backend.server().name(), nowNs);
    backend.cold(nowNs);
  }

  /** Whether more than half of the other backend servers are slow too. */
  private boolean isPoolSlow(TrackedBackend candidate, long nowNs) {
    int others = 0;
    int slow = 0;
    for (TrackedBackend other : backends.values()) {
      if (other == candidate || other.isLeaving()) {
        continue;
      }
      others++;
      if (isSlow(other, nowNs)) {
        slow++;
      }
    }
    return others >= MIN_OTHERS_TO_COMPARE && slow * 2 > others;
  }

  private boolean isSlow(TrackedBackend backend, long nowNs) {
    BackendName name = backend.server().name();
    Long signAtNs = slowSignAtNs.get(name);
    if (signAtNs != null && nowNs - signAtNs < SLOW_SIGN_VALID_NS) {
      return true;
    }
    double factor = settings.farAboveFactor() * SHARE_OF_SLOW_POOL;
    return slowRuns.containsKey(name) || isUnanswered(backend, factor, nowNs);
  }

  /** Whether the slot time without a normal answer is a multiple of what the pool knows. */
  private boolean isUnanswered(TrackedBackend backend, double factor, long nowNs) {
    if (normal.value().isEmpty()) {
      return false;
    }
    long usualNs = Math.max(normal.value().getAsLong(), gaps.value().orElse(0));
    return backend.unansweredSlotTimeNs(nowNs) > factor * usualNs;
  }

  private boolean isFarAbove(long timeNs) {
    OptionalLong p99 = normal.value();
    if (p99.isEmpty() || timeNs < settings.farAboveFloorNs()) {
      return false;
    }
    return timeNs > settings.farAboveFactor() * p99.getAsLong();
  }

  private void checkSilence(TrackedBackend backend, long nowNs) {
    boolean silent = nowNs - backend.lastResultNs() > settings.coldAfterSilenceNs();
    if (silent && backend.limit() > 1) {
      backend.cold(nowNs);
    }
  }

  private boolean wantsProbe(TrackedBackend backend, long nowNs) {
    boolean silent = nowNs - backend.lastResultNs() > settings.probeAfterSilenceNs();
    return silent || backend.isHalfWayToSecondCall() || doubtful.contains(backend.server().name());
  }
}
