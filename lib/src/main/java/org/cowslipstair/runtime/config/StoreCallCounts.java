package org.cowslipstair.runtime.config;

/**
 * Number of calls to the platform's store by one gateway since its start; a watch counts once
 * however long it waits.
 *
 * @param failed calls of any kind that failed
 */
public record StoreCallCounts(
    long lists, long watches, long instances, long gets, long puts, long deletes, long failed) {
  /** Returns the number of read calls. */
  public long reads() {
    return lists + watches + instances + gets;
  }

  /** Returns the number of write calls. */
  public long writes() {
    return puts + deletes;
  }
}
