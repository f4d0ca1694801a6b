package org.cowslipstair.runtime;

/** Detects that the whole process was paused, from the time between two ticks of its loop. */
public final class PauseDetector {
  private final long maxTickGapNs;
  private long lastTickNs;

  /**
   * Creates a detector.
   *
   * @param maxTickGapNs longest time between two ticks that does not count as a pause
   */
  public PauseDetector(long maxTickGapNs, long nowNs) {
    this.maxTickGapNs = maxTickGapNs;
    this.lastTickNs = nowNs;
  }

  /** Records a tick of the loop and returns whether the process was paused before it. */
  public boolean onTick(long nowNs) {
    boolean wasPaused = nowNs - lastTickNs > maxTickGapNs;
    lastTickNs = nowNs;
    return wasPaused;
  }
}
