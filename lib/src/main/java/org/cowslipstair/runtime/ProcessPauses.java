package org.cowslipstair.runtime;

/** Notices that the whole process was paused, by the time between two turns of its loop. */
public final class ProcessPauses {
  private final long longestTurnNs;
  private long lastTurnNs;

  /**
   * Creates the check.
   *
   * @param longestTurnNs longest time between two turns that is no pause
   */
  public ProcessPauses(long longestTurnNs, long nowNs) {
    this.longestTurnNs = longestTurnNs;
    this.lastTurnNs = nowNs;
  }

  /** Records a turn of the loop and returns whether the process was paused before it. */
  public boolean turn(long nowNs) {
    boolean paused = nowNs - lastTurnNs > longestTurnNs;
    lastTurnNs = nowNs;
    return paused;
  }
}
