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

/** Slots, queue, service times and cold start of one backend server. */
final class ServiceModel {
  private static final long MAX_STEP_NS = TimeUnit.MILLISECONDS.toNanos(10);
  private static final double LATENCY_WEIGHT = 0.1;
  private static final int ALL_PERCENT = 100;

  private final AtomicReference<BackendBehaviour> behaviour;
  private final Counters counters;
  private final ReentrantLock lock = new ReentrantLock();
  private final Condition slotFreed = lock.newCondition();
  private final Deque<Object> queue = new ArrayDeque<>();
  private final RandomGenerator random;
  private final SlowDown slowDown;
  private int running;
  private boolean cold;
  private long coldSinceNs;
  private long warmingSinceNs;
  private int warmingSuccesses;
  private boolean collapsed;
  private long collapseEndNs;
  private boolean marked;
  private long markEndNs;
  private double latencyNs;

  ServiceModel(AtomicReference<BackendBehaviour> behaviour, Counters counters, long seed) {
    this.behaviour = behaviour;
    this.counters = counters;
    SplittableRandom root = new SplittableRandom(seed);
    this.slowDown = new SlowDown(root.split());
    this.random = root;
  }

  /** How waiting or running ended. */
  enum Step {
    DONE,
    NOT_RUN,
    CANCELLED,
    DEADLINE_PASSED
  }

  /** What the health and load endpoints show. */
  record Load(BackendHealth health, int inFlight, int slots, long latencyMicros) {}

  /** Takes a slot, waiting in the queue; after {@link Step#DONE} the caller must {@link #leave}. */
  Step enter(long deadlineNs, BooleanSupplier callerGone) {
    Object ticket = new Object();
    lock.lock();
    try {
      BackendBehaviour now = behaviour.get();
      counters.add(Counters.Event.CALL);
      boolean queueFull =
          running >= now.slots() && now.maxQueue() >= 0 && queue.size() >= now.maxQueue();
      if (now.draining() || now.shedding() || queueFull) {
        countArrivalAfterMark();
        counters.add(Counters.Event.NOT_RUN);
        return Step.NOT_RUN;
      }
      countArrival(now);
      queue.addLast(ticket);
      Step step = awaitSlot(ticket, deadlineNs, callerGone);
      if (step != Step.DONE) {
        queue.remove(ticket);
        slotFreed.signalAll();
      }
      return step;
    } finally {
      lock.unlock();
    }
  }

  private Step awaitSlot(Object ticket, long deadlineNs, BooleanSupplier callerGone) {
    long looksNs = lookIntervalNs();
    long nextLookNs = System.nanoTime() + looksNs;
    while (queue.peekFirst() != ticket || running >= behaviour.get().slots()) {
      awaitChange(Math.min(nextLookNs, deadlineNs) - System.nanoTime());
      long nowNs = System.nanoTime();
      if (nowNs - deadlineNs >= 0) {
        counters.add(Counters.Event.NOT_RUN);
        return Step.NOT_RUN;
      }
      if (nowNs - nextLookNs >= 0) {
        nextLookNs = nowNs + looksNs;
        if (callerGone.getAsBoolean()) {
          counters.add(Counters.Event.CANCELLED);
          return Step.CANCELLED;
        }
      }
    }
    queue.removeFirst();
    running++;
    slotFreed.signalAll();
    return Step.DONE;
  }

  private void awaitChange(long waitNs) {
    if (waitNs <= 0) {
      return;
    }
    try {
      slotFreed.awaitNanos(waitNs);
    } catch (InterruptedException _) {
      Thread.currentThread().interrupt();
    }
  }

  private void countArrival(BackendBehaviour now) {
    int inFlight = running + queue.size() + 1;
    counters.atLeast(Counters.Event.MOST_IN_FLIGHT, inFlight);
    if (inFlight > now.slots()) {
      counters.add(Counters.Event.OVER_SLOTS);
    }
    countArrivalAfterMark();
    updateWarmth(System.nanoTime());
    if (!cold || inFlight <= now.coldStart().capacity()) {
      return;
    }
    counters.add(Counters.Event.OVER_COLD_CAPACITY);
    long noticeNs = TimeUnit.MILLISECONDS.toNanos(now.coldStart().noticeMs());
    if (System.nanoTime() - coldSinceNs >= noticeNs) {
      counters.add(Counters.Event.OVER_COLD_CAPACITY_LATE);
    }
  }

  private void countArrivalAfterMark() {
    if (marked && System.nanoTime() - markEndNs >= 0) {
      counters.add(Counters.Event.AFTER_MARK);
    }
  }

  /** Works on a call that holds a slot. */
  Step work(long workNs, long deadlineNs, BooleanSupplier callerGone) {
    double remainingNs = workNs;
    long startNs = System.nanoTime();
    long lastNs = startNs;
    long nextLookNs = startNs + lookIntervalNs();
    while (remainingNs > 0) {
      double factor = factor(lastNs);
      LockSupport.parkNanos(Math.min(MAX_STEP_NS, Math.round(remainingNs * factor)));
      long nowNs = System.nanoTime();
      remainingNs -= (nowNs - lastNs) / factor;
      lastNs = nowNs;
      if (nowNs - deadlineNs >= 0) {
        counters.add(Counters.Event.DEADLINE_PASSED);
        return Step.DEADLINE_PASSED;
      }
      if (nowNs - nextLookNs >= 0) {
        nextLookNs = nowNs + lookIntervalNs();
        if (callerGone.getAsBoolean()) {
          counters.add(Counters.Event.CANCELLED);
          return Step.CANCELLED;
        }
      }
    }
    succeeded();
    return Step.DONE;
  }

  private long lookIntervalNs() {
    return TimeUnit.MILLISECONDS.toNanos(Math.max(1, behaviour.get().cancelNoticeMs()));
  }

  private double factor(long nowNs) {
    lock.lock();
    try {
      BackendBehaviour now = behaviour.get();
      updateWarmth(nowNs);
      double factor = Math.max(0.001, now.slowFactor()) * slowDown.factorAt(now.noise(), nowNs);
      return collapsed ? factor * Math.max(1, now.coldStart().collapseFactor()) : factor;
    } finally {
      lock.unlock();
    }
  }

  private void updateWarmth(long nowNs) {
    if (!cold) {
      collapsed = false;
      return;
    }
    ColdStart coldStart = behaviour.get().coldStart();
    if (running > coldStart.capacity()) {
      if (!collapsed) {
        counters.add(Counters.Event.COLLAPSE);
      }
      collapsed = true;
      collapseEndNs = nowNs + TimeUnit.MILLISECONDS.toNanos(coldStart.collapseMs());
      warmingSinceNs = nowNs;
      warmingSuccesses = 0;
    } else if (collapsed && nowNs - collapseEndNs >= 0) {
      collapsed = false;
    }
    long warmingNs = nowNs - warmingSinceNs;
    boolean warmByTime =
        coldStart.warmAfterMs() > 0
            && warmingNs >= TimeUnit.MILLISECONDS.toNanos(coldStart.warmAfterMs());
    if (warmByTime || warmingSuccesses >= coldStart.warmAfterSuccesses()) {
      cold = false;
      collapsed = false;
    }
  }

  /** Adds the time that a call was here, waiting included, to the latency that is reported. */
  void noteLatency(long spentNs) {
    lock.lock();
    try {
      latencyNs += LATENCY_WEIGHT * (spentNs - latencyNs);
    } finally {
      lock.unlock();
    }
  }

  private void succeeded() {
    lock.lock();
    try {
      if (cold && !collapsed) {
        warmingSuccesses++;
      }
    } finally {
      lock.unlock();
    }
  }

  /** Gives the slot of a call back. */
  void leave() {
    lock.lock();
    try {
      running--;
      slotFreed.signalAll();
    } finally {
      lock.unlock();
    }
  }

  /** Draws the work of one call. */
  long drawWorkNs() {
    lock.lock();
    try {
      return behaviour.get().serviceTime().sampleNs(random);
    } finally {
      lock.unlock();
    }
  }

  /** Draws whether an event of a probability happens. */
  boolean drawPercent(int percent) {
    lock.lock();
    try {
      return percent > 0 && random.nextInt(ALL_PERCENT) < percent;
    } finally {
      lock.unlock();
    }
  }

  void setCold(boolean newCold) {
    lock.lock();
    try {
      cold = newCold;
      collapsed = false;
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
      marked = true;
      markEndNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(graceMs);
    } finally {
      lock.unlock();
    }
  }

  void clearMark() {
    lock.lock();
    try {
      marked = false;
    } finally {
      lock.unlock();
    }
  }

  /** Returns the true load. */
  Load load() {
    lock.lock();
    try {
      BackendBehaviour now = behaviour.get();
      updateWarmth(System.nanoTime());
      long latencyMicros = TimeUnit.NANOSECONDS.toMicros(Math.round(latencyNs));
      return new Load(health(now), running + queue.size(), now.slots(), latencyMicros);
    } finally {
      lock.unlock();
    }
  }

  private BackendHealth health(BackendBehaviour now) {
    if (now.draining()) {
      return BackendHealth.DRAINING;
    }
    if (now.shedding()) {
      return BackendHealth.SHEDDING;
    }
    return cold ? BackendHealth.COLD : BackendHealth.WARM;
  }
}
