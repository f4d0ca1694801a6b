package org.cowslipstair.standins.store;

/**
 * Faults that the store shows.
 *
 * @param down every call is refused with status 503
 * @param delayMs time by which every answer is late
 * @param loseWriteAnswers writes take effect but their connections are closed without an answer
 * @param losePercent share of the writes that lose their answer while {@code loseWriteAnswers}
 * @param watchStuck watches return nothing, whatever is written
 * @param instanceLagMs age of the list of instances that is shown
 */
public record StoreFaults(
    boolean down,
    long delayMs,
    boolean loseWriteAnswers,
    int losePercent,
    boolean watchStuck,
    long instanceLagMs) {
  private static final int ALL_PERCENT = 100;

  /** Returns a store without faults. */
  public static StoreFaults none() {
    return new StoreFaults(false, 0, false, ALL_PERCENT, false, 0);
  }

  /** Returns a copy that refuses every call or not. */
  public StoreFaults withDown(boolean newDown) {
    return new StoreFaults(
        newDown, delayMs, loseWriteAnswers, losePercent, watchStuck, instanceLagMs);
  }

  /** Returns a copy that answers late. */
  public StoreFaults withDelayMs(long newDelayMs) {
    return new StoreFaults(
        down, newDelayMs, loseWriteAnswers, losePercent, watchStuck, instanceLagMs);
  }

  /** Returns a copy that loses the answers of writes or not. */
  public StoreFaults withLoseWriteAnswers(boolean newLoseWriteAnswers) {
    return new StoreFaults(
        down, delayMs, newLoseWriteAnswers, losePercent, watchStuck, instanceLagMs);
  }

  /** Returns a copy whose watches are stuck or not. */
  public StoreFaults withWatchStuck(boolean newWatchStuck) {
    return new StoreFaults(
        down, delayMs, loseWriteAnswers, losePercent, newWatchStuck, instanceLagMs);
  }

  /** Returns a copy whose list of instances lags. */
  public StoreFaults withInstanceLagMs(long newInstanceLagMs) {
    return new StoreFaults(
        down, delayMs, loseWriteAnswers, losePercent, watchStuck, newInstanceLagMs);
  }
}
