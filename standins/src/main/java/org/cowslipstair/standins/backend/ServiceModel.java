package org.cowslipstair.standins.backend;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.LockSupport;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;

/** Slots, queue, service times and cold start of one backend server. Thread-safe. */
final class ServiceModel {
  private static final long MAX_WORK_STEP_NS = TimeUnit.MILLISECONDS.toNanos(10);
  private static final double LATENCY_EWMA_WEIGHT = 0.1;
  private static final int HUNDRED_PERCENT = 100;

  private final AtomicReference<BackendBehaviour> behaviour;
  private final Counters counters;
  private final ReentrantLock lock = new ReentrantLock();
  private final Condition slotOrQueueChanged = lock.newCondition();
  private final Deque<Object> queue = new ArrayDeque<>();
  private final RandomGenerator random;
  private final NoiseSchedule noiseSchedule;
  private int running;
  private boolean isCold;
  private long coldSinceNs;
  private long warmingSinceNs;
  private int warmingSuccesses;
  private boolean isCollapsed;
  private long collapseEndNs;
  private boolean isMarkSet;
  private long markGraceEndNs;
  private double latencyNs;

  ServiceModel(AtomicReference<BackendBehaviour> behaviour, Counters counters, long seed) {
    this.behaviour = behaviour;
    this.counters = counters;
    SplittableRandom root = new SplittableRandom(seed);
    this.noiseSchedule = new NoiseSchedule(root.split());
    this.random = root;
  }

  /** Result of waiting for a slot or of running. */
  enum Outcome {
    DONE,
    NOT_RUN,
    CANCELLED,
    DEADLINE_PASSED
  }

  /** Values of the health and load endpoints. */
  record Load(BackendHealth health, int inFlight, int slots, long latencyMicros) {
    int running() {
      return Math.min(inFlight, slots);
    }

    int waiting() {
      return inFlight - running();
    }
  }

  /** Waits for a slot; after {@link Outcome#DONE} the caller must {@link #releaseSlot}. */
  Outcome acquireSlot(long deadlineNs, BooleanSupplier callerGone) {
    Object ticket = new Object();
    lock.lock();
    try {
      BackendBehaviour current = behaviour.get();
      counters.increment(Counters.Metric.CALL);
      boolean isQueueFull =
          running >= current.slots()
              && current.maxQueue() >= 0
              && queue.size() >= current.maxQueue();
      if (isQueueFull && current.overload().hangsWhenFull()) {
        return awaitCallerGone(deadlineNs, callerGone);
      }
      if (current.draining() || current.shedding() || isQueueFull) {
        countArrivalAfterMark();
        counters.increment(Counters.Metric.NOT_RUN);
        return Outcome.NOT_RUN;
      }
      countArrival(current);
      queue.addLast(ticket);
      Outcome outcome = awaitSlot(ticket, deadlineNs, callerGone);
      if (outcome != Outcome.DONE) {
        queue.remove(ticket);
        slotOrQueueChanged.signalAll();
      }
      return outcome;
    } finally {
      lock.unlock();
    }
  }

  private Outcome awaitSlot(Object ticket, long deadlineNs, BooleanSupplier callerGone) {
    long checkIntervalNs = callerCheckIntervalNs();
    long nextCallerCheckNs = System.nanoTime() + checkIntervalNs;
    while (queue.peekFirst() != ticket || running >= behaviour.get().slots()) {
      awaitSignal(Math.min(nextCallerCheckNs, deadlineNs) - System.nanoTime());
      long nowNs = System.nanoTime();
      if (nowNs - deadlineNs >= 0) {
        counters.increment(Counters.Metric.NOT_RUN);
        return Outcome.NOT_RUN;
      }
      if (nowNs - nextCallerCheckNs >= 0) {
        nextCallerCheckNs = nowNs + checkIntervalNs;
        if (callerGone.getAsBoolean()) {
          counters.increment(Counters.Metric.CANCELLED);
          return Outcome.CANCELLED;
        }
      }
    }
    queue.removeFirst();
    running++;
    slotOrQueueChanged.signalAll();
    return Outcome.DONE;
  }

  /** Leaves a call without a response until its caller gives up. */
  private Outcome awaitCallerGone(long deadlineNs, BooleanSupplier callerGone) {
    counters.increment(Counters.Metric.NOT_RUN);
    while (System.nanoTime() - deadlineNs < 0 && !callerGone.getAsBoolean()) {
      awaitSignal(callerCheckIntervalNs());
    }
    return Outcome.CANCELLED;
  }

  private void awaitSignal(long waitNs) {
    if (waitNs <= 0) {
      return;
    }
    try {
      slotOrQueueChanged.awaitNanos(waitNs);
    } catch (InterruptedException _) {
      Thread.currentThread().interrupt();
    }
  }

  private void countArrival(BackendBehaviour current) {
    int inFlight = running + queue.size() + 1;
    counters.raiseTo(Counters.Metric.MOST_IN_FLIGHT, inFlight);
    if (inFlight > current.slots()) {
      counters.increment(Counters.Metric.OVER_SLOTS);
    }
    countArrivalAfterMark();
    updateColdStart(System.nanoTime());
    if (!isCold || inFlight <= current.coldStart().capacity()) {
      return;
    }
    counters.increment(Counters.Metric.OVER_COLD_CAPACITY);
    long noticeNs = TimeUnit.MILLISECONDS.toNanos(current.coldStart().noticeMs());
    if (System.nanoTime() - coldSinceNs >= noticeNs) {
      counters.increment(Counters.Metric.OVER_COLD_CAPACITY_LATE);
    }
  }

  private void countArrivalAfterMark() {
    if (isMarkSet && System.nanoTime() - markGraceEndNs >= 0) {
      counters.increment(Counters.Metric.AFTER_MARK);
    }
  }

  /** Simulates the work of a call that holds a slot. */
  Outcome work(long serviceNs, long deadlineNs, BooleanSupplier callerGone) {
    double remainingNs = serviceNs;
    long startNs = System.nanoTime();
    long lastStepNs = startNs;
    long nextCallerCheckNs = startNs + callerCheckIntervalNs();
    while (remainingNs > 0) {
      double factor = slowdownFactor(lastStepNs);
      LockSupport.parkNanos(Math.min(MAX_WORK_STEP_NS, Math.round(remainingNs * factor)));
      long nowNs = System.nanoTime();
      remainingNs -= (nowNs - lastStepNs) / factor;
      lastStepNs = nowNs;
      if (nowNs - deadlineNs >= 0) {
        counters.increment(Counters.Metric.DEADLINE_PASSED);
        return Outcome.DEADLINE_PASSED;
      }
      if (nowNs - nextCallerCheckNs >= 0) {
        nextCallerCheckNs = nowNs + callerCheckIntervalNs();
        if (callerGone.getAsBoolean()) {
          counters.increment(Counters.Metric.CANCELLED);
          return Outcome.CANCELLED;
        }
      }
    }
    recordSuccess();
    return Outcome.DONE;
  }

  private long callerCheckIntervalNs() {
    return TimeUnit.MILLISECONDS.toNanos(Math.max(1, behaviour.get().cancelNoticeMs()));
  }

  /** Returns the factor by which durations of calls are multiplied now. */
  double slowdownFactor() {
    return slowdownFactor(System.nanoTime());
  }

  private double slowdownFactor(long nowNs) {
    lock.lock();
    try {
      BackendBehaviour current = behaviour.get();
      updateColdStart(nowNs);
      double factor =
          Math.max(0.001, current.slowFactor()) * noiseSchedule.factorAt(current.noise(), nowNs);
      if (running >= current.overload().kneeShare() * current.slots()) {
        factor *= current.overload().kneeFactor();
      }
      return isCollapsed ? factor * Math.max(1, current.coldStart().collapseFactor()) : factor;
    } finally {
      lock.unlock();
    }
  }

  private void updateColdStart(long nowNs) {
    if (!isCold) {
      isCollapsed = false;
      return;
    }
    ColdStart coldStart = behaviour.get().coldStart();
    if (running > coldStart.capacity()) {
      if (!isCollapsed) {
        counters.increment(Counters.Metric.COLLAPSE);
      }
      isCollapsed = true;
      collapseEndNs = nowNs + TimeUnit.MILLISECONDS.toNanos(coldStart.collapseMs());
      warmingSinceNs = nowNs;
      warmingSuccesses = 0;
    } else if (isCollapsed && nowNs - collapseEndNs >= 0) {
      isCollapsed = false;
    }
    long warmingNs = nowNs - warmingSinceNs;
    boolean isWarmByTime =
        coldStart.warmAfterMs() > 0
            && warmingNs >= TimeUnit.MILLISECONDS.toNanos(coldStart.warmAfterMs());
    if (isWarmByTime || warmingSuccesses >= coldStart.warmAfterSuccesses()) {
      isCold = false;
      isCollapsed = false;
    }
  }

  /** Adds the time since the arrival of a call, including waiting, to the reported mean latency. */
  void recordLatency(long sojournNs) {
    lock.lock();
    try {
      latencyNs += LATENCY_EWMA_WEIGHT * (sojournNs - latencyNs);
    } finally {
      lock.unlock();
    }
  }

  private void recordSuccess() {
    lock.lock();
    try {
      if (isCold && !isCollapsed) {
        warmingSuccesses++;
      }
    } finally {
      lock.unlock();
    }
  }

  /** Releases the slot of a call. */
  void releaseSlot() {
    lock.lock();
    try {
      running--;
      slotOrQueueChanged.signalAll();
    } finally {
      lock.unlock();
    }
  }

  /** Draws the service time of one call at normal speed. */
  long drawServiceNs() {
    lock.lock();
    try {
      return behaviour.get().serviceTime().sampleNs(random);
    } finally {
      lock.unlock();
    }
  }

  /** Returns true with the given probability. */
  boolean drawWithProbability(int percent) {
    lock.lock();
    try {
      return percent > 0 && random.nextInt(HUNDRED_PERCENT) < percent;
    } finally {
      lock.unlock();
    }
  }

  void setCold(boolean newCold) {
    lock.lock();
    try {
      isCold = newCold;
      isCollapsed = false;
      coldSinceNs = System.nanoTime();
      warmingSinceNs = coldSinceNs;
      warmingSuccesses = 0;
    } finally {
      lock.unlock();
    }
  }

  void mark(long graceMs) {
    lock.lock();
    try {
      isMarkSet = true;
      markGraceEndNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(graceMs);
    } finally {
      lock.unlock();
    }
  }

  void clearMark() {
    lock.lock();
    try {
      isMarkSet = false;
    } finally {
      lock.unlock();
    }
  }

  /** Returns the true load, whatever the endpoints report. */
  Load load() {
    lock.lock();
    try {
      BackendBehaviour current = behaviour.get();
      updateColdStart(System.nanoTime());
      long latencyMicros = TimeUnit.NANOSECONDS.toMicros(Math.round(latencyNs));
      return new Load(health(current), running + queue.size(), current.slots(), latencyMicros);
    } finally {
      lock.unlock();
    }
  }

  private BackendHealth health(BackendBehaviour current) {
    if (current.draining()) {
      return BackendHealth.DRAINING;
    }
    if (current.shedding()) {
      return BackendHealth.SHEDDING;
    }
    return isCold ? BackendHealth.COLD : BackendHealth.WARM;
  }
}
