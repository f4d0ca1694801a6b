package org.cowslipstair.model.config;

/**
 * Order of the revisions of a store that gives the same numbers out again when it comes back from a
 * copy: by epoch, then by number. Without a return both are the same.
 */
public final class StoreRevision {
  private static final int NUMBER_BITS = 40;
  private static final long MAX_NUMBER = (1L << NUMBER_BITS) - 1;
  private static final long MAX_EPOCH = (1L << (Long.SIZE - 1 - NUMBER_BITS)) - 1;

  private StoreRevision() {}

  /**
   * Returns a revision.
   *
   * @param epoch number of times that the store had come back from a copy
   * @param number revision within the epoch, as the store tells it
   */
  public static long of(long epoch, long number) {
    if (epoch < 0 || epoch > MAX_EPOCH || number < 0 || number > MAX_NUMBER) {
      throw new IllegalArgumentException("revision %d of epoch %d".formatted(number, epoch));
    }
    return epoch << NUMBER_BITS | number;
  }

  /** Returns the epoch of a revision. */
  public static long epoch(long revision) {
    return revision >> NUMBER_BITS;
  }

  /** Returns the number of a revision within its epoch. */
  public static long number(long revision) {
    return revision & MAX_NUMBER;
  }
}
