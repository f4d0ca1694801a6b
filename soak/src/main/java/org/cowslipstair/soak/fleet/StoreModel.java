package org.cowslipstair.soak.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Objects of a store with one revision counter and a history for watches. Safe for use by many
 * threads.
 */
public final class StoreModel {
  private final Map<String, Map<String, Item>> kinds = new TreeMap<>();
  private final List<Event> history = new ArrayList<>();
  private long revision = 1;
  private long forgottenUntil;

  /** An object. */
  public record Item(String name, long revision, ObjectNode spec) {}

  /** A change of one object. */
  public record Event(String kind, Item item, boolean deleted, long revision) {}

  /** What a watch found. */
  public sealed interface Found {
    /** Changes, none if there were none in time. */
    record Changes(List<Event> events, long revision) implements Found {}

    /** The history that was asked for is gone. */
    record Gone() implements Found {}
  }

  /** Creates or replaces an object; returns its revision. */
  public synchronized long put(String kind, String name, ObjectNode spec) {
    revision++;
    Item item = new Item(name, revision, spec);
    kinds.computeIfAbsent(kind, _ -> new TreeMap<>()).put(name, item);
    history.add(new Event(kind, item, false, revision));
    notifyAll();
    return revision;
  }

  /** Removes an object if there is one. */
  public synchronized void delete(String kind, String name) {
    Item item = kinds.getOrDefault(kind, Map.of()).get(name);
    if (item != null) {
      kinds.get(kind).remove(name);
      revision++;
      history.add(new Event(kind, item, true, revision));
      notifyAll();
    }
  }

  /** Returns an object. */
  public synchronized Optional<Item> get(String kind, String name) {
    return Optional.ofNullable(kinds.getOrDefault(kind, Map.of()).get(name));
  }

  /** Returns all objects of a kind. */
  public synchronized List<Item> list(String kind) {
    return List.copyOf(kinds.getOrDefault(kind, Map.of()).values());
  }

  /** Returns the revision of the store. */
  public synchronized long revision() {
    return revision;
  }

  /** Forgets the history, and ends the watches that wait. */
  public synchronized void forgetHistory() {
    history.clear();
    forgottenUntil = revision;
    notifyAll();
  }

  /** Waits for changes of a kind after a revision. */
  public synchronized Found watch(String kind, long after, long waitMs)
      throws InterruptedException {
    long endNs = System.nanoTime() + waitMs * 1_000_000L;
    while (true) {
      if (after < forgottenUntil) {
        return new Found.Gone();
      }
      List<Event> events =
          history.stream().filter(e -> e.kind().equals(kind) && e.revision() > after).toList();
      long leftMs = (endNs - System.nanoTime()) / 1_000_000L;
      if (!events.isEmpty() || leftMs <= 0) {
        return new Found.Changes(events, revision);
      }
      wait(leftMs);
    }
  }
}
