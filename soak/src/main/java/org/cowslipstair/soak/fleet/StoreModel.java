package org.cowslipstair.soak.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * In-memory store of objects with one revision counter and a change history for watches. Can return
 * to an earlier copy, which loses all writes since. Thread-safe.
 */
public final class StoreModel {
  private final Map<String, Map<String, Item>> kinds = new TreeMap<>();
  private final List<Event> history = new ArrayList<>();
  private long revision = 1;
  private long historyStartRevision;
  private long epoch = 1;

  /** An object at the revision of its last change. */
  public record Item(String name, long revision, ObjectNode spec) {}

  /** A change of one object. */
  public record Event(String kind, Item item, boolean deleted, long revision) {}

  /** The content of the store at one time. */
  public record Copy(Map<String, Map<String, Item>> kinds, long revision) {}

  /** Result of a watch. */
  public sealed interface WatchResult {
    /** The changes after the revision; empty if the wait timed out. */
    record Changes(List<Event> events, long revision) implements WatchResult {}

    /** The requested history was discarded. */
    record HistoryGone() implements WatchResult {}
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

  /** Removes an object if it exists. */
  public synchronized void delete(String kind, String name) {
    Item item = kinds.getOrDefault(kind, Map.of()).get(name);
    if (item != null) {
      kinds.get(kind).remove(name);
      revision++;
      history.add(new Event(kind, item, true, revision));
      notifyAll();
    }
  }

  /** Returns an object, empty if it does not exist. */
  public synchronized Optional<Item> get(String kind, String name) {
    return Optional.ofNullable(kinds.getOrDefault(kind, Map.of()).get(name));
  }

  /** Returns all objects of a kind. */
  public synchronized List<Item> list(String kind) {
    return List.copyOf(kinds.getOrDefault(kind, Map.of()).values());
  }

  /** Returns a copy of the content. */
  public synchronized Copy copy() {
    Map<String, Map<String, Item>> copied = new TreeMap<>();
    kinds.forEach((kind, items) -> copied.put(kind, new TreeMap<>(items)));
    return new Copy(copied, revision);
  }

  /** Returns to a copy and begins the next epoch; ends all waiting watches. */
  public synchronized void returnTo(Copy copy) {
    kinds.clear();
    copy.kinds().forEach((kind, items) -> kinds.put(kind, new TreeMap<>(items)));
    revision = copy.revision();
    history.clear();
    historyStartRevision = revision;
    epoch++;
    notifyAll();
  }

  /** Returns the number of the epoch, which rises with each return to a copy. */
  public synchronized long epoch() {
    return epoch;
  }

  /** Returns the current revision of the store. */
  public synchronized long revision() {
    return revision;
  }

  /** Discards the change history and ends all waiting watches. */
  public synchronized void forgetHistory() {
    history.clear();
    historyStartRevision = revision;
    notifyAll();
  }

  /** Waits up to the given time for changes of a kind after a revision. */
  public synchronized WatchResult watch(String kind, long afterRevision, long waitMs)
      throws InterruptedException {
    long endNs = System.nanoTime() + waitMs * 1_000_000L;
    long startEpoch = epoch;
    while (true) {
      boolean isUnknown = afterRevision < historyStartRevision || afterRevision > revision;
      if (isUnknown || epoch != startEpoch) {
        return new WatchResult.HistoryGone();
      }
      List<Event> events =
          history.stream()
              .filter(e -> e.kind().equals(kind) && e.revision() > afterRevision)
              .toList();
      long remainingMs = (endNs - System.nanoTime()) / 1_000_000L;
      if (!events.isEmpty() || remainingMs <= 0) {
        return new WatchResult.Changes(events, revision);
      }
      wait(remainingMs);
    }
  }
}
