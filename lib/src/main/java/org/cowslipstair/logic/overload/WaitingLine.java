package org.cowslipstair.logic.overload;

import java.util.Comparator;
import java.util.Optional;
import java.util.TreeSet;

/**
 * The waiting requests of one service, ordered by urgency and then by arrival. Not thread-safe.
 *
 * @param <T> what waits
 */
public final class WaitingLine<T> {
  private final TreeSet<Place<T>> places =
      new TreeSet<>(
          Comparator.<Place<T>, Urgency>comparing(Place::urgency)
              .thenComparingLong(Place::sequence));
  private long nextSequence;

  /** A place in the line. */
  public record Place<T>(Urgency urgency, long sequence, T item) {}

  /** Adds a request behind those that are as urgent. */
  public Place<T> add(Urgency urgency, T item) {
    Place<T> place = new Place<>(urgency, nextSequence++, item);
    places.add(place);
    return place;
  }

  /** Removes a request; returns whether it was waiting. */
  public boolean remove(Place<T> place) {
    return places.remove(place);
  }

  /** Returns the most urgent request; empty if none waits. */
  public Optional<Place<T>> first() {
    return places.isEmpty() ? Optional.empty() : Optional.of(places.first());
  }

  /** Returns the number of waiting requests. */
  public int size() {
    return places.size();
  }
}
