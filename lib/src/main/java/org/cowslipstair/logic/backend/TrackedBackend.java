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

/** State and limit of one backend server. Limits fall at once and rise one step at a time. */
final class TrackedBackend {
  private static final int MAX_RELAPSES = 3;
  private static final int MAX_BACKOFF_DOUBLINGS = 16;
  private static final int WARM_STEPS_TO_FORGIVE = 8;
  private final BackendTrackerSettings settings;
  private final RandomGenerator random;
  private final InvariantMonitor monitor;
  private final Map<Long, Long> startNsByLease = new HashMap<>();
  private final ProbeBudget probeBudget;
  private BackendServer server;
  private BackendState state = new Leaving();
  private int limit;
  private int reportedSlots = Integer.MAX_VALUE;
  private int relapses;
  private int refusals;
  private int failuresInRow;
  private int warmSuccesses;
  private long raisedAtNs = Long.MIN_VALUE;
  private long loweredAtNs = Long.MIN_VALUE;
  private long lastResultNs;
  private long lastNormalAnswerNs;
  private long endedSlotTimeNs;
  private boolean fresh = true;

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
    this.lastResultNs = nowNs;
    this.lastNormalAnswerNs = nowNs;
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

  boolean isFresh() {
    return fresh;
  }

  boolean isLeaving() {
    return state instanceof Leaving;
  }

  long lastResultNs() {
    return lastResultNs;
  }

  ProbeBudget probeBudget() {
    return probeBudget;
  }

  /** Takes the configured object; a backend server that returns or has moved is cold. */
  void configure(BackendServer newServer, boolean takesNewCalls, long nowNs) {
    boolean moved = !newServer.address().equals(server.address());
    server = newServer;
    if (!takesNewCalls) {
      enter(new Leaving(), 0, nowNs);
      return;
    }
    if (isLeaving() || moved) {
      forget(nowNs);
      return;
    }
    fitToSlots(nowNs);
  }

  /** Forgets everything that was learned. */
  void forget(long nowNs) {
    reportedSlots = Integer.MAX_VALUE;
    relapses = 0;
    refusals = 0;
    failuresInRow = 0;
    fresh = true;
    lastResultNs = nowNs;
    probeBudget.empty(nowNs);
    enter(new Cold(0), Math.min(1, slots()), nowNs);
  }

  void forgetRunning() {
    startNsByLease.clear();
  }

  /** Takes over what another broker knew; its times mean nothing here. */
  void adopt(BackendState handedState, int handedLimit, long nowNs) {
    int bounded = Math.clamp(handedLimit, 0, slots());
    if (isLeaving() || handedState instanceof Leaving) {
      return;
    }
    if (!fresh) {
      if (bounded < limit) {
        enter(new Cold(0), bounded, nowNs);
      }
      return;
    }
    switch (handedState) {
      case Suspect(long _, int failures) -> {
        failuresInRow = failures;
        suspect(failures, nowNs);
      }
      case Shedding _ -> shed(nowNs);
      case Warm _ -> enterWithLimit(bounded, nowNs);
      case Cold(int successes) ->
          enter(new Cold(successes), Math.clamp(bounded, 0, slots()), nowNs);
      case Leaving _ -> enter(state, limit, nowNs);
    }
    fresh = false;
  }

  void started(long leaseNumber, long nowNs) {
    startNsByLease.put(leaseNumber, nowNs);
  }

  /** Removes a running call and returns when it started, if that is known. */
  OptionalLong ended(long leaseNumber) {
    Long startNs = startNsByLease.remove(leaseNumber);
    return startNs == null ? OptionalLong.empty() : OptionalLong.of(startNs);
  }

  /** Returns the age of the oldest running call. */
  long oldestAgeNs(long nowNs) {
    long oldest = 0;
    for (long startNs : startNsByLease.values()) {
      oldest = Math.max(oldest, nowNs - startNs);
    }
    return oldest;
  }

  /**
   * Returns the slot time that running and other calls have spent since the last answer at normal
   * service time. Calls that take long while others are answered do not count.
   */
  long unansweredSlotTimeNs(long nowNs) {
    long sumNs = endedSlotTimeNs;
    for (long startNs : startNsByLease.values()) {
      sumNs += nowNs - Math.max(startNs, lastNormalAnswerNs);
    }
    return sumNs;
  }

  /** Returns for how long calls have waited for the next answer at normal service time. */
  long unansweredForNs(long nowNs) {
    long sinceNs = nowNs - lastNormalAnswerNs;
    return endedSlotTimeNs > 0 ? sinceNs : Math.min(sinceNs, oldestAgeNs(nowNs));
  }

  void answeredNormally(long nowNs) {
    lastNormalAnswerNs = nowNs;
    endedSlotTimeNs = 0;
  }

  /**
   * Takes a call that ended without a normal answer and without fault, as one that lost to a hedge.
   */
  void unanswered(OptionalLong startNs, long nowNs) {
    if (startNs.isPresent()) {
      endedSlotTimeNs += nowNs - Math.max(startNs.getAsLong(), lastNormalAnswerNs);
    }
  }

  /** Whether a call that started then may lower the limit: it has not fallen since. */
  boolean mayLower(long startNs) {
    return startNs >= loweredAtNs;
  }

  /** Whether a call that started then counts towards a higher limit; unknown ones do not. */
  boolean mayRaise(OptionalLong startNs) {
    return startNs.isPresent()
        && startNs.getAsLong() >= loweredAtNs
        && startNs.getAsLong() >= raisedAtNs;
  }

  void noteResult(long nowNs) {
    lastResultNs = nowNs;
    fresh = false;
  }

  /** Counts a success at normal service time. */
  void succeeded(long nowNs) {
    failuresInRow = 0;
    switch (state) {
      case Cold(int successes) -> risen(successes + 1, nowNs);
      case Suspect _ when limit > 0 -> enter(new Cold(1), limit, nowNs);
      case Suspect _, Shedding _ -> {}
      case Warm _ -> forgive();
      case Leaving _ -> {}
    }
  }

  /**
   * Whether a cold backend server is about to get a second call at once. Its health is asked then:
   * it may still say that it is cold, which starts the run of successes again.
   */
  boolean isHalfWayToSecondCall() {
    return limit == 1
        && state instanceof Cold(int successes)
        && successes >= settings.successesPerStep() / 2;
  }

  /** Ends a run of successes without lowering the limit. */
  void interruptedRun() {
    if (state instanceof Cold) {
      state = new Cold(0);
    }
  }

  /** Takes a sign that the backend server is cold. */
  void cold(long nowNs) {
    if (limit == 0) {
      return;
    }
    noteRelapse();
    enter(new Cold(0), 1, nowNs);
    monitor.checkAtMost(Invariant.COLD_LIMIT, server.name().value(), limit, 1);
  }

  /** Takes a failed or hung call; the second in a row makes the backend server suspect. */
  void failed(long nowNs) {
    failuresInRow++;
    boolean alreadySuspect = state instanceof Suspect;
    if (failuresInRow >= 2 || alreadySuspect) {
      suspect(failuresInRow, nowNs);
    } else {
      cold(nowNs);
    }
  }

  /** Takes a refusal by the backend server. */
  void shed(long nowNs) {
    if (isLeaving()) {
      return;
    }
    refusals++;
    noteRelapse();
    enter(new Shedding(nowNs + backoffNs(refusals)), 0, nowNs);
  }

  /** Lets one call through once a backoff has passed. */
  void endBackoff(long nowNs) {
    switch (state) {
      case Shedding(long retryAtNs) when nowNs >= retryAtNs ->
          enter(new Cold(0), Math.min(1, slots()), nowNs);
      case Suspect(long retryAtNs, int failures) when nowNs >= retryAtNs && limit == 0 ->
          enter(new Suspect(retryAtNs, failures), Math.min(1, slots()), nowNs);
      default -> {}
    }
  }

  /** Lowers the slots to what the backend server reports; a later report may lift this bound. */
  void reportedSlots(int slots, long nowNs) {
    reportedSlots = Math.max(1, slots);
    fitToSlots(nowNs);
  }

  private void fitToSlots(long nowNs) {
    if (limit > slots()) {
      interruptedRun();
      enter(state, slots(), nowNs);
    }
    if (state instanceof Warm && limit < slots()) {
      enter(new Cold(0), limit, nowNs);
    }
  }

  private void noteRelapse() {
    warmSuccesses = 0;
    if (limit > 1) {
      relapses = Math.min(relapses + 1, MAX_RELAPSES);
    }
  }

  private void forgive() {
    warmSuccesses++;
    if (warmSuccesses >= settings.successesPerStep() * WARM_STEPS_TO_FORGIVE) {
      relapses = 0;
      refusals = 0;
    }
  }

  private int slots() {
    return Math.min(server.slots(), reportedSlots);
  }

  private void suspect(int failures, long nowNs) {
    if (!isLeaving()) {
      enter(new Suspect(nowNs + backoffNs(failures - 1), failures), 0, nowNs);
    }
  }

  private void risen(int successes, long nowNs) {
    if (successes < settings.successesPerStep() << relapses) {
      state = new Cold(successes);
      return;
    }
    enterWithLimit(Math.min(limit + 1, slots()), nowNs);
  }

  private void enterWithLimit(int newLimit, long nowNs) {
    boolean full = newLimit >= slots();
    enter(full ? new Warm() : new Cold(0), newLimit, nowNs);
  }

  private void enter(BackendState newState, int newLimit, long nowNs) {
    if (newLimit > limit) {
      raisedAtNs = nowNs;
    } else if (newLimit < limit) {
      loweredAtNs = nowNs;
      endedSlotTimeNs = 0;
    }
    state = newState;
    limit = newLimit;
  }

  private long backoffNs(int attempt) {
    int doublings = Math.clamp(attempt - 1L, 0, MAX_BACKOFF_DOUBLINGS);
    long wholeNs = Math.min(settings.firstRetryNs() << doublings, settings.longestRetryNs());
    return wholeNs / 2 + random.nextLong(wholeNs / 2 + 1);
  }
}
