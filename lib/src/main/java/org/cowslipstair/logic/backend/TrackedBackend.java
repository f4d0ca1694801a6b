package org.cowslipstair.logic.backend;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.pool.BackendState;
import org.cowslipstair.model.pool.BackendState.Cold;
import org.cowslipstair.model.pool.BackendState.Leaving;
import org.cowslipstair.model.pool.BackendState.Shedding;
import org.cowslipstair.model.pool.BackendState.Suspect;
import org.cowslipstair.model.pool.BackendState.Warm;

/** State and limit of one backend server. A limit drops immediately and rises in steps of one. */
final class TrackedBackend {
  private static final int MAX_RELAPSES = 3;
  private static final int MAX_BACKOFF_DOUBLINGS = 16;
  private static final int WARM_STEPS_TO_RESET_RELAPSES = 8;
  private final BackendTrackerSettings settings;
  private final RandomGenerator random;
  private final InvariantMonitor monitor;
  private final Map<Long, Long> startNsByCall = new HashMap<>();
  private final ProbeBudget probeBudget;
  private BackendServer server;
  private BackendState state = new Leaving();
  private int limit;
  private int reportedSlots = Integer.MAX_VALUE;
  private int relapses;
  private int shedCount;
  private int consecutiveFailures;
  private int warmSuccesses;
  private long limitRaisedAtNs = Long.MIN_VALUE;
  private long limitLoweredAtNs = Long.MIN_VALUE;
  private long lastResultAtNs;
  private long lastNormalResponseAtNs;
  private long endedCallSlotTimeNs;
  private boolean isInitial = true;

  TrackedBackend(
      BackendServer server,
      BackendTrackerSettings settings,
      RandomGenerator random,
      InvariantMonitor monitor,
      long nowNs) {
    this.server = server;
    this.settings = settings;
    this.random = random;
    this.monitor = monitor;
    this.lastResultAtNs = nowNs;
    this.lastNormalResponseAtNs = nowNs;
    this.probeBudget =
        new ProbeBudget(server.name().value(), settings.probesPerSecond(), monitor, nowNs);
  }

  BackendServer server() {
    return server;
  }

  BackendState state() {
    return state;
  }

  int limit() {
    return limit;
  }

  boolean isInitial() {
    return isInitial;
  }

  boolean isLeaving() {
    return state instanceof Leaving;
  }

  long lastResultAtNs() {
    return lastResultAtNs;
  }

  ProbeBudget probeBudget() {
    return probeBudget;
  }

  /** Applies the configuration; a backend server that returns or has a new address is cold. */
  void configure(BackendServer newServer, boolean acceptsNewCalls, long nowNs) {
    boolean hasMoved = !newServer.address().equals(server.address());
    server = newServer;
    if (!acceptsNewCalls) {
      setStateAndLimit(new Leaving(), 0, nowNs);
      return;
    }
    if (isLeaving() || hasMoved) {
      reset(nowNs);
      return;
    }
    applySlotBound(nowNs);
  }

  /** Resets the backend server to cold and discards all results, but not running calls. */
  void reset(long nowNs) {
    reportedSlots = Integer.MAX_VALUE;
    relapses = 0;
    shedCount = 0;
    consecutiveFailures = 0;
    isInitial = true;
    lastResultAtNs = nowNs;
    probeBudget.empty(nowNs);
    setStateAndLimit(new Cold(0), Math.min(1, slots()), nowNs);
  }

  void clearRunningCalls() {
    startNsByCall.clear();
  }

  /** Adopts another broker's state and limit, but not its times, which are of another clock. */
  void adopt(BackendState handedState, int handedLimit, long nowNs) {
    int boundedLimit = Math.clamp(handedLimit, 0, slots());
    if (isLeaving() || handedState instanceof Leaving) {
      return;
    }
    if (!isInitial) {
      if (boundedLimit < limit) {
        setStateAndLimit(new Cold(0), boundedLimit, nowNs);
      }
      return;
    }
    switch (handedState) {
      case Suspect(long _, int failures) -> {
        consecutiveFailures = failures;
        markSuspect(failures, nowNs);
      }
      case Shedding _ -> markShedding(nowNs);
      case Warm _ -> setWarmOrCold(boundedLimit, nowNs);
      case Cold(int successes) ->
          setStateAndLimit(new Cold(successes), Math.clamp(boundedLimit, 0, slots()), nowNs);
      case Leaving _ -> setStateAndLimit(state, limit, nowNs);
    }
    isInitial = false;
  }

  void callStarted(long callNumber, long nowNs) {
    startNsByCall.put(callNumber, nowNs);
  }

  /** Removes a running call and returns its start time; empty if the call is unknown. */
  OptionalLong removeRunningCall(long callNumber) {
    Long startNs = startNsByCall.remove(callNumber);
    return startNs == null ? OptionalLong.empty() : OptionalLong.of(startNs);
  }

  /** Returns the age of the oldest running call. */
  long oldestCallAgeNs(long nowNs) {
    long maxAgeNs = 0;
    for (long startNs : startNsByCall.values()) {
      maxAgeNs = Math.max(maxAgeNs, nowNs - startNs);
    }
    return maxAgeNs;
  }

  /**
   * Returns the slot time that running calls, and calls ended without a normal response, have spent
   * since the last response at normal service time. Long calls among normal responses do not count.
   */
  long slotTimeWithoutResponseNs(long nowNs) {
    long sumNs = endedCallSlotTimeNs;
    for (long startNs : startNsByCall.values()) {
      sumNs += nowNs - Math.max(startNs, lastNormalResponseAtNs);
    }
    return sumNs;
  }

  /** Returns how long calls have waited for the next response at normal service time. */
  long timeWithoutResponseNs(long nowNs) {
    long sinceNs = nowNs - lastNormalResponseAtNs;
    return endedCallSlotTimeNs > 0 ? sinceNs : Math.min(sinceNs, oldestCallAgeNs(nowNs));
  }

  void recordNormalResponse(long nowNs) {
    lastNormalResponseAtNs = nowNs;
    endedCallSlotTimeNs = 0;
  }

  /**
   * Records a call that ended without a normal response and without fault, such as one that lost to
   * a hedge.
   */
  void recordCallWithoutResponse(OptionalLong startNs, long nowNs) {
    if (startNs.isPresent()) {
      endedCallSlotTimeNs += nowNs - Math.max(startNs.getAsLong(), lastNormalResponseAtNs);
    }
  }

  /** Returns whether a call started at the given time may lower the limit: not if lowered since. */
  boolean canLowerLimit(long startNs) {
    return startNs >= limitLoweredAtNs;
  }

  /** Returns whether a call started at the given time may raise the limit; not if unknown. */
  boolean canRaiseLimit(OptionalLong startNs) {
    return startNs.isPresent()
        && startNs.getAsLong() >= limitLoweredAtNs
        && startNs.getAsLong() >= limitRaisedAtNs;
  }

  void recordResult(long nowNs) {
    lastResultAtNs = nowNs;
    isInitial = false;
  }

  /** Records a success at normal service time. */
  void recordSuccess(long nowNs) {
    consecutiveFailures = 0;
    switch (state) {
      case Cold(int successes) -> countColdSuccess(successes + 1, nowNs);
      case Suspect _ when limit > 0 -> setStateAndLimit(new Cold(1), limit, nowNs);
      case Suspect _, Shedding _ -> {}
      case Warm _ -> countWarmSuccess();
      case Leaving _ -> {}
    }
  }

  /**
   * Returns whether a cold backend server has half the successes for a second concurrent call. It
   * is probed then: it may still report that it is cold, which resets its successes.
   */
  boolean isHalfwayToSecondCall() {
    return limit == 1
        && state instanceof Cold(int successes)
        && successes >= settings.successesPerStep() / 2;
  }

  /** Resets the count of successes without lowering the limit. */
  void resetSuccesses() {
    if (state instanceof Cold) {
      state = new Cold(0);
    }
  }

  /** Marks the backend server cold, with a limit of one call. */
  void markCold(long nowNs) {
    if (limit == 0) {
      return;
    }
    recordRelapse();
    setStateAndLimit(new Cold(0), 1, nowNs);
    monitor.checkAtMost(Invariant.COLD_LIMIT, server.name().value(), limit, 1);
  }

  /** Records a failed or hung call; the second consecutive one makes the backend server suspect. */
  void recordFailure(long nowNs) {
    consecutiveFailures++;
    boolean isSuspect = state instanceof Suspect;
    if (consecutiveFailures >= 2 || isSuspect) {
      markSuspect(consecutiveFailures, nowNs);
    } else {
      markCold(nowNs);
    }
  }

  /** Records that the backend server shed a call, and stops calls for a backoff. */
  void markShedding(long nowNs) {
    if (isLeaving()) {
      return;
    }
    shedCount++;
    recordRelapse();
    setStateAndLimit(new Shedding(nowNs + backoffNs(shedCount)), 0, nowNs);
  }

  /** Allows one call once a backoff has passed. */
  void endBackoff(long nowNs) {
    switch (state) {
      case Shedding(long retryAtNs) when nowNs >= retryAtNs ->
          setStateAndLimit(new Cold(0), Math.min(1, slots()), nowNs);
      case Suspect(long retryAtNs, int failures) when nowNs >= retryAtNs && limit == 0 ->
          setStateAndLimit(new Suspect(retryAtNs, failures), Math.min(1, slots()), nowNs);
      default -> {}
    }
  }

  /** Bounds the slots by the number that the backend server reports; a later report replaces it. */
  void setReportedSlots(int slots, long nowNs) {
    reportedSlots = Math.max(1, slots);
    applySlotBound(nowNs);
  }

  private void applySlotBound(long nowNs) {
    if (limit > slots()) {
      resetSuccesses();
      setStateAndLimit(state, slots(), nowNs);
    }
    if (state instanceof Warm && limit < slots()) {
      setStateAndLimit(new Cold(0), limit, nowNs);
    }
  }

  private void recordRelapse() {
    warmSuccesses = 0;
    if (limit > 1) {
      relapses = Math.min(relapses + 1, MAX_RELAPSES);
    }
  }

  private void countWarmSuccess() {
    warmSuccesses++;
    if (warmSuccesses >= settings.successesPerStep() * WARM_STEPS_TO_RESET_RELAPSES) {
      relapses = 0;
      shedCount = 0;
    }
  }

  private int slots() {
    return Math.min(server.slots(), reportedSlots);
  }

  private void markSuspect(int failures, long nowNs) {
    if (!isLeaving()) {
      setStateAndLimit(new Suspect(nowNs + backoffNs(failures - 1), failures), 0, nowNs);
    }
  }

  private void countColdSuccess(int successes, long nowNs) {
    if (successes < settings.successesPerStep() << relapses) {
      state = new Cold(successes);
      return;
    }
    setWarmOrCold(Math.min(limit + 1, slots()), nowNs);
  }

  private void setWarmOrCold(int newLimit, long nowNs) {
    boolean hasAllSlots = newLimit >= slots();
    setStateAndLimit(hasAllSlots ? new Warm() : new Cold(0), newLimit, nowNs);
  }

  private void setStateAndLimit(BackendState newState, int newLimit, long nowNs) {
    if (newLimit > limit) {
      limitRaisedAtNs = nowNs;
    } else if (newLimit < limit) {
      limitLoweredAtNs = nowNs;
      endedCallSlotTimeNs = 0;
    }
    state = newState;
    limit = newLimit;
  }

  private long backoffNs(int attempt) {
    int doublings = Math.clamp(attempt - 1L, 0, MAX_BACKOFF_DOUBLINGS);
    long maxBackoffNs = Math.min(settings.firstRetryNs() << doublings, settings.longestRetryNs());
    return maxBackoffNs / 2 + random.nextLong(maxBackoffNs / 2 + 1);
  }
}
