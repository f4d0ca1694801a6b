package org.cowslipstair.model.traffic;

import java.util.Comparator;

/**
 * Point in the history of the platform's store.
 *
 * @param epoch number of times that the store has come back from a copy; 0 if the store does not
 *     tell
 * @param revision number of the last change; compares only within one epoch, since a copy is older
 *     than the store that it replaces
 */
public record StorePosition(long epoch, long revision) implements Comparable<StorePosition> {
  private static final Comparator<StorePosition> ORDER =
      Comparator.comparingLong(StorePosition::epoch).thenComparingLong(StorePosition::revision);

  /** Returns the position before every change. */
  public static StorePosition none() {
    return new StorePosition(0, 0);
  }

  @Override
  public int compareTo(StorePosition other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return revision + " of epoch " + epoch;
  }
}
