package org.cowslipstair.experiments.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.Phaser;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/** Sends calls when they are due, whether or not earlier ones have been answered. */
public final class OpenLoopLoad {
  private static final long NS_PER_MS = 1_000_000L;
  private static final double NS_PER_S = 1e9;
  private static final int RAMP_PERCENT = 75;
  private static final double MIN_RAMP_FACTOR = 0.02;

  private final LoadPlan plan;
  private final CallSender sender;
  private final Map<String, ServiceResult> results = new TreeMap<>();
  private final AtomicLong numbers = new AtomicLong();
  private final Phaser running = new Phaser(1);

  /** Creates a load; {@link #run} sends it. */
  public OpenLoopLoad(LoadPlan plan, CallSender sender) {
    this.plan = plan;
    this.sender = sender;
    for (ServiceLoad load : plan.services()) {
      results.put(load.service(), new ServiceResult());
    }
  }

  /** Returns the results by service; they grow while the load runs. */
  public Map<String, ServiceResult> results() {
    return Map.copyOf(results);
  }

  /** Sends the whole load and waits for the last answer. */
  public void run() throws InterruptedException {
    long startNs = System.nanoTime();
    List<Thread> schedulers = new ArrayList<>();
    SplittableRandom seeds = new SplittableRandom(plan.seed());
    for (ServiceLoad load : plan.services()) {
      SplittableRandom random = seeds.split();
      schedulers.add(
          Thread.ofPlatform()
              .name("load-" + load.service())
              .start(() -> schedule(load, random, startNs)));
    }
    for (Thread scheduler : schedulers) {
      scheduler.join();
    }
    running.awaitAdvanceInterruptibly(running.arrive());
  }

  private void schedule(ServiceLoad load, SplittableRandom random, long startNs) {
    long endNs = startNs + plan.durationMs() * NS_PER_MS;
    long recordFromNs = startNs + plan.warmUpMs() * NS_PER_MS;
    long dueNs = startNs;
    while (true) {
      double rate = load.callsPerSecond() * rampFactor(dueNs - startNs);
      dueNs += Math.round(-Math.log(1 - random.nextDouble()) * NS_PER_S / rate);
      if (dueNs >= endNs) {
        return;
      }
      boolean idempotent = random.nextDouble() >= load.nonIdempotentShare();
      waitUntil(dueNs);
      start(load, idempotent, dueNs, dueNs >= recordFromNs);
    }
  }

  /** Raises the rate over the warm-up, as a process that has just started is slow. */
  private double rampFactor(long elapsedNs) {
    long rampNs = plan.warmUpMs() * NS_PER_MS * RAMP_PERCENT / 100;
    if (elapsedNs >= rampNs) {
      return 1;
    }
    return MIN_RAMP_FACTOR + (1 - MIN_RAMP_FACTOR) * elapsedNs / rampNs;
  }

  private static void waitUntil(long dueNs) {
    long leftNs = dueNs - System.nanoTime();
    while (leftNs > 0) {
      LockSupport.parkNanos(leftNs);
      leftNs = dueNs - System.nanoTime();
    }
  }

  private void start(ServiceLoad load, boolean idempotent, long dueNs, boolean recorded) {
    running.register();
    long number = numbers.getAndIncrement();
    Thread.startVirtualThread(
        () -> {
          try {
            CallerView view = sender.send(load, number, idempotent);
            ServiceResult result = results.get(load.service());
            if (recorded && result != null) {
              result.record(view, System.nanoTime() - dueNs);
            }
          } finally {
            running.arriveAndDeregister();
          }
        });
  }
}
