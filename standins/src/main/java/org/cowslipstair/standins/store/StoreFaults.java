package org.cowslipstair.standins.store;

/**
 * Simulated faults of the store.
 *
 * @param down every request is refused with status 503
 * @param delayMs delay of every response
 * @param loseWriteAnswers writes take effect, but their connections are closed without a response
 * @param losePercent percentage of writes that lose their response while {@code loseWriteAnswers}
 * @param watchStuck watches return no events, whatever is written
 * @param instanceLagMs age of the returned instance list
 */
public record StoreFaults(
    boolean down,
    long delayMs,
    boolean loseWriteAnswers,
    int losePercent,
    boolean watchStuck,
    long instanceLagMs) {
  private static final int HUNDRED_PERCENT = 100;

  /** Returns the settings without faults. */
  public static StoreFaults none() {
    return new StoreFaults(false, 0, false, HUNDRED_PERCENT, false, 0);
  }

  /** Returns a copy that refuses all requests or none. */
  public StoreFaults withDown(boolean newDown) {
    return new StoreFaults(
        newDown, delayMs, loseWriteAnswers, losePercent, watchStuck, instanceLagMs);
  }

  /** Returns a copy with another response delay. */
  public StoreFaults withDelayMs(long newDelayMs) {
    return new StoreFaults(
        down, newDelayMs, loseWriteAnswers, losePercent, watchStuck, instanceLagMs);
  }

  /** Returns a copy that loses the responses to writes or not. */
  public StoreFaults withLoseWriteAnswers(boolean newLoseWriteAnswers) {
    return new StoreFaults(
        down, delayMs, newLoseWriteAnswers, losePercent, watchStuck, instanceLagMs);
  }

  /** Returns a copy whose watches are stuck or not. */
  public StoreFaults withWatchStuck(boolean newWatchStuck) {
    return new StoreFaults(
        down, delayMs, loseWriteAnswers, losePercent, newWatchStuck, instanceLagMs);
  }

  /** Returns a copy with another lag of the instance list. */
  public StoreFaults withInstanceLagMs(long newInstanceLagMs) {
    return new StoreFaults(
        down, delayMs, loseWriteAnswers, losePercent, watchStuck, newInstanceLagMs);
  }
}
