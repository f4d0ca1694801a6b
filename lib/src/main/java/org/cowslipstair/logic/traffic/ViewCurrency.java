package org.cowslipstair.logic.traffic;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.cowslipstair.model.traffic.StorePosition;
import org.cowslipstair.port.ObjectFeed.Collection;

/**
 * Knows up to when this gateway's view of the store is current. An answer of the store proves that
 * the store is there, not that this view has what the store has, since the stream that feeds a
 * collection can be silent while other calls are answered. A collection was current at a moment if
 * the store was asked after it and either supplied the collection, or named a position that the
 * view has reached. Not thread-safe.
 */
public final class ViewCurrency {
  private final Map<Collection, StorePosition> positions = new EnumMap<>(Collection.class);
  private final Map<Collection, Long> currentAsOfNs = new EnumMap<>(Collection.class);
  private final List<Collection> collections;
  private StorePosition namedPosition = StorePosition.none();

  /**
   * Creates a view of which nothing is known.
   *
   * @param collections collections that have to be current
   */
  public ViewCurrency(List<Collection> collections) {
    this.collections = List.copyOf(collections);
  }

  /**
   * Records that the store supplied a collection up to a position.
   *
   * @param askedNs monotonic time at which the store was asked
   */
  public void recordSupplied(Collection collection, StorePosition position, long askedNs) {
    positions.merge(collection, position, ViewCurrency::later);
    recordNamed(position, askedNs);
  }

  /**
   * Records that the store named its position, whatever it was asked.
   *
   * @param askedNs monotonic time at which the store was asked
   */
  public void recordNamed(StorePosition position, long askedNs) {
    namedPosition = later(namedPosition, position);
    for (Collection collection : collections) {
      if (hasReached(collection, namedPosition)) {
        currentAsOfNs.merge(collection, askedNs, Math::max);
      }
    }
  }

  private boolean hasReached(Collection collection, StorePosition position) {
    return positions.getOrDefault(collection, StorePosition.none()).compareTo(position) >= 0;
  }

  private static StorePosition later(StorePosition position, StorePosition other) {
    return position.compareTo(other) >= 0 ? position : other;
  }

  /**
   * Returns the monotonic time at which every collection was current; empty if that is not known.
   */
  public OptionalLong currentAsOfNs() {
    return currentAsOfNs.size() < collections.size()
        ? OptionalLong.empty()
        : currentAsOfNs.values().stream().mapToLong(Long::longValue).min();
  }

  /**
   * Returns the collection to ask the store for, because the store has named a position that the
   * view of it has not reached; of several, the one that was current longest ago.
   */
  public Optional<Collection> firstBehind() {
    return collections.stream()
        .filter(collection -> !hasReached(collection, namedPosition))
        .min(
            Comparator.comparing(
                collection -> currentAsOfNs.getOrDefault(collection, Long.MIN_VALUE)));
  }

  /** Returns whether the store has come back from a copy since it last named its position. */
  public boolean isFromLaterEpoch(StorePosition position) {
    return namedPosition.revision() > 0 && position.epoch() > namedPosition.epoch();
  }

  /** Forgets everything, as before the first answer of the store. */
  public void reset() {
    positions.clear();
    currentAsOfNs.clear();
    namedPosition = StorePosition.none();
  }
}
