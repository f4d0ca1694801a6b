package org.cowslipstair.runtime.config;

/**
 * Calls of the platform's store by one gateway since its start, a waiting watch counted once.
 *
 * @param failed calls of any kind that failed
 */
public record StoreCallCounts(
    long lists, long watches, long instances, long gets, long puts, long deletes, long failed) {
  /** Returns the number of calls that read. */
  public long reads() {
    return lists + watches + instances + gets;
  }

  /** Returns the number of calls that write. */
  public long writes() {
    return puts + deletes;
  }
}
