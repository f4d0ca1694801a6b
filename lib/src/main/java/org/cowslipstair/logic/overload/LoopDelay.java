package org.cowslipstair.logic.overload;

/**
 * How far the event loop of a gateway is behind, from timers that fire late. Not thread-safe.
 *
 * <p>A gateway that is behind has no processor time left, as right after a start. What it accepts
 * then waits in each of its steps, so that everything becomes late.
 */
public final class LoopDelay {
  /** Time for which a measurement is valid. */
  private static final long MAX_AGE_NS = 150_000_000L;

  private long delayNs;
  private long measuredAtNs;
  private boolean measured;

  /**
   * Records a timer.
   *
   * @param dueNs monotonic time at which it should have fired
   * @param nowNs monotonic time at which it fired
   */
  public void record(long dueNs, long nowNs) {
    delayNs = Math.max(0, nowNs - dueNs);
    measuredAtNs = nowNs;
    measured = true;
  }

  /** Returns the delay of the last timer; 0 if that was too long ago. */
  public long delayNs(long nowNs) {
    return measured && nowNs - measuredAtNs <= MAX_AGE_NS ? delayNs : 0;
  }
}
