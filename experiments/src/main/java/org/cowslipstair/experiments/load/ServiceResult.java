package org.cowslipstair.experiments.load;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Figures of one service in one run. Times count from when the call was due, so a late caller hides
 * no wait. Safe for concurrent use.
 */
public final class ServiceResult {
  private static final long MAX_US = 120_000_000L;
  private static final int DIGITS = 3;
  private static final long NS_PER_US = 1_000;

  private final LongAdder calls = new LongAdder();
  private final LongAdder answered = new LongAdder();
  private final LongAdder notRun = new LongAdder();
  private final LongAdder mayHaveRun = new LongAdder();
  private final LongAdder wrongBodies = new LongAdder();
  private final LongAdder connectionFailures = new LongAdder();
  private final LongAdder unreachable = new LongAdder();
  private final Map<String, Long> causes = new ConcurrentHashMap<>();
  private final Histogram totalUs = histogram();
  private final Histogram addedUs = histogram();
  private final Histogram waitUs = histogram();

  private static Histogram histogram() {
    Histogram histogram = new ConcurrentHistogram(1, MAX_US, DIGITS);
    histogram.setAutoResize(false);
    return histogram;
  }

  /** Records a call that took some time from when it was due. */
  public void record(CallerView view, long totalNs) {
    calls.increment();
    switch (view) {
      case CallerView.Answered(long serviceNs, long backendNs) -> {
        answered.increment();
        add(totalUs, totalNs);
        add(addedUs, totalNs - backendNs);
        add(waitUs, totalNs - serviceNs);
      }
      case CallerView.NotRun _ -> notRun.increment();
      case CallerView.MayHaveRun _ -> mayHaveRun.increment();
      case CallerView.WrongBody _ -> wrongBodies.increment();
      case CallerView.ConnectionFailed(String cause) -> {
        connectionFailures.increment();
        causes.merge(cause, 1L, Long::sum);
      }
      case CallerView.Unreachable _ -> unreachable.increment();
    }
  }

  private static void add(Histogram histogram, long valueNs) {
    histogram.recordValue(Math.clamp(valueNs / NS_PER_US, 0, MAX_US));
  }

  /** Returns the number of calls. */
  public long calls() {
    return calls.sum();
  }

  /** Returns the number of whole answers. */
  public long answered() {
    return answered.sum();
  }

  /** Returns the number of calls refused as not run. */
  public long notRun() {
    return notRun.sum();
  }

  /** Returns the number of calls with an unknown outcome. */
  public long mayHaveRun() {
    return mayHaveRun.sum();
  }

  /** Returns the number of bodies that were short or belonged to another call. */
  public long wrongBodies() {
    return wrongBodies.sum();
  }

  /** Returns the number of connections that failed before the answer was whole. */
  public long connectionFailures() {
    return connectionFailures.sum();
  }

  /** Returns how often connections failed, by cause. */
  public Map<String, Long> failureCauses() {
    return Map.copyOf(causes);
  }

  /** Returns the number of calls that reached no gateway. */
  public long unreachable() {
    return unreachable.sum();
  }

  /** Returns a percentile of the whole time of answered calls, in milliseconds. */
  public double totalMs(double percentile) {
    return totalUs.getValueAtPercentile(percentile) / 1_000.0;
  }

  /** Returns a percentile of the time spent outside the backend server, in milliseconds. */
  public double addedMs(double percentile) {
    return addedUs.getValueAtPercentile(percentile) / 1_000.0;
  }

  /** Returns a percentile of the time before the backend server started, in milliseconds. */
  public double waitMs(double percentile) {
    return waitUs.getValueAtPercentile(percentile) / 1_000.0;
  }

  /** Adds the figures of another service. */
  public void add(ServiceResult other) {
    calls.add(other.calls());
    answered.add(other.answered());
    notRun.add(other.notRun());
    mayHaveRun.add(other.mayHaveRun());
    wrongBodies.add(other.wrongBodies());
    connectionFailures.add(other.connectionFailures());
    unreachable.add(other.unreachable());
    other.causes.forEach((cause, count) -> causes.merge(cause, count, Long::sum));
    totalUs.add(other.totalUs);
    addedUs.add(other.addedUs);
    waitUs.add(other.waitUs);
  }
}
