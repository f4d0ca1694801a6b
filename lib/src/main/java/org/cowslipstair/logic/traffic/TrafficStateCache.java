package org.cowslipstair.logic.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.traffic.BackendInstance;
import org.cowslipstair.model.traffic.GatewayEntry;
import org.cowslipstair.model.traffic.StorePosition;
import org.cowslipstair.model.traffic.TrafficPlan;
import org.cowslipstair.model.traffic.TrafficState;
import org.cowslipstair.port.ObjectFeed.Changes;
import org.cowslipstair.port.ObjectFeed.Collection;
import org.cowslipstair.port.ObjectFeed.Content;
import org.cowslipstair.port.ObjectFeed.Item;
import org.jspecify.annotations.Nullable;

/**
 * Merges the collections of the store into one traffic state. Older data never replaces newer data:
 * each object is kept at its highest revision, the configuration at its highest version, each
 * process of a backend server at its latest report. Revisions start again when the store comes back
 * from a copy; versions and reports do not. Not thread-safe.
 */
public final class TrafficStateCache {
  /**
   * Time for which zones out of service and gateways that a copy of the store lacks are retained:
   * whoever wrote them writes them again.
   */
  public static final long REWRITE_GRACE_NS = 10_000_000_000L;

  /**
   * Time for which a removed backend server is remembered, so that a copy of the store does not
   * bring it back. The store itself removes it from the copy after a few missed reports.
   */
  private static final long DEPARTURE_MEMORY_NS = 120_000_000_000L;

  private final InvariantMonitor monitor;
  private final Map<Collection, Map<String, Item>> items = new HashMap<>();
  private final Map<Collection, StorePosition> positions = new HashMap<>();
  private final Map<Collection, Map<String, RetainedItem>> retained = new HashMap<>();
  private final Map<String, Departure> departures = new HashMap<>();
  private final ProcessSuccession succession = new ProcessSuccession();
  private final List<Fault> faults = new ArrayList<>();
  private @Nullable List<GatewayEntry> gateways;
  private Optional<TrafficPlan> plan = Optional.empty();

  /** Creates an empty cache. */
  public TrafficStateCache(InvariantMonitor monitor) {
    this.monitor = monitor;
    for (Collection collection : Collection.values()) {
      items.put(collection, new HashMap<>());
      retained.put(collection, new HashMap<>());
    }
  }

  /** An object that could not be decoded. */
  public record Fault(Collection collection, String name, String reason) {}

  private record RetainedItem(Item item, long untilNs) {}

  private record Departure(BackendInstance lastReport, long forgetAtNs) {}

  /**
   * Replaces a whole collection with its content at one position of the store. Only a newer
   * configuration is taken if a later position has been applied.
   *
   * @param graceNs time for which missing backend servers are retained as unconfirmed; 0 to remove
   *     them at once
   * @return whether anything has changed
   */
  public boolean replace(
      Collection collection,
      List<Item> newItems,
      StorePosition position,
      long nowNs,
      long graceNs) {
    StorePosition previous = position(collection);
    if (position.compareTo(previous) < 0) {
      return adoptNewerPlan(newItems);
    }
    boolean hasReturned = hasReturnedFromCopy(previous, position);
    if (hasReturned) {
      forgetRevisions(collection);
    }
    long missingGraceNs =
        Math.max(outageGraceNs(collection, graceNs), hasReturned ? returnGraceNs(collection) : 0);
    boolean hasChanged = position.compareTo(previous) > 0;
    positions.put(collection, position);
    Set<String> names = new HashSet<>();
    for (Item item : newItems) {
      names.add(item.name());
      hasChanged |= put(collection, item);
    }
    for (String name : List.copyOf(itemsOf(collection).keySet())) {
      if (!names.contains(name)) {
        remove(collection, name, nowNs, missingGraceNs);
        hasChanged = true;
      }
    }
    return hasChanged;
  }

  private static boolean hasReturnedFromCopy(StorePosition previous, StorePosition position) {
    return previous.revision() > 0 && position.epoch() > previous.epoch();
  }

  /**
   * Compares a whole collection, as listed at one position of the store, with what is cached. If
   * nothing is missing here, the cached collection is complete up to that position. All of a list
   * of a later epoch is missing, since revisions of two epochs do not compare.
   *
   * @return the changes that are missing here; without items and deletions if there are none
   */
  public Changes missing(Collection collection, List<Item> listedItems, StorePosition position) {
    StorePosition previous = position(collection);
    if (position.compareTo(previous) <= 0) {
      return new Changes(List.of(), Set.of(), position);
    }
    if (hasReturnedFromCopy(previous, position)) {
      return new Changes(listedItems, Set.of(), position);
    }
    Map<String, Item> known = itemsOf(collection);
    Set<String> deleted = new HashSet<>(known.keySet());
    List<Item> newItems = new ArrayList<>();
    for (Item item : listedItems) {
      deleted.remove(item.name());
      Item current = known.get(item.name());
      boolean isNew = current == null ? !hasDeparted(item) : current.revision() < item.revision();
      if (isNew) {
        newItems.add(item);
      }
    }
    if (collection == Collection.CONFIGURATION) {
      deleted.clear();
    }
    if (newItems.isEmpty() && deleted.isEmpty()) {
      positions.put(collection, position);
    }
    return new Changes(newItems, deleted, position);
  }

  /** Only backend servers have entries that expire while the store is away. */
  private static long outageGraceNs(Collection collection, long graceNs) {
    return collection == Collection.BACKENDS ? graceNs : 0;
  }

  private static long returnGraceNs(Collection collection) {
    return switch (collection) {
      case BACKENDS -> OutageTracker.RENEWAL_GRACE_NS;
      case ZONES_OUT, GATEWAYS, ROLLOUTS -> REWRITE_GRACE_NS;
      case CONFIGURATION -> 0;
    };
  }

  /** The revisions of the returned store do not compare with those known before. */
  private void forgetRevisions(Collection collection) {
    itemsOf(collection).replaceAll((_, item) -> withRevision(item, 0));
  }

  private boolean adoptNewerPlan(List<Item> outdatedItems) {
    boolean hasChanged = false;
    for (Item item : outdatedItems) {
      boolean isNewer =
          item.content() instanceof Content.Plan(TrafficPlan newPlan)
              && plan.filter(current -> current.version() >= newPlan.version()).isEmpty();
      hasChanged |= isNewer && put(Collection.CONFIGURATION, item);
    }
    return hasChanged;
  }

  /**
   * Applies changes up to a position. Only a newer configuration is taken if that position or a
   * later one has been applied, or if the store has come back from a copy and the whole collection
   * has not been read since.
   *
   * @param graceNs time for which deleted backend servers are retained as unconfirmed; 0 to remove
   *     them at once
   * @return whether the changes were new
   */
  public boolean apply(Collection collection, Changes changes, long nowNs, long graceNs) {
    StorePosition previous = position(collection);
    if (changes.position().compareTo(previous) <= 0
        || hasReturnedFromCopy(previous, changes.position())) {
      return adoptNewerPlan(changes.items());
    }
    positions.put(collection, changes.position());
    changes.items().forEach(item -> put(collection, item));
    long deletedGraceNs = outageGraceNs(collection, graceNs);
    changes.deleted().forEach(name -> remove(collection, name, nowNs, deletedGraceNs));
    return true;
  }

  /** Stores an item; returns false if it or a newer one was stored already. */
  private boolean put(Collection collection, Item item) {
    Map<String, Item> itemsByName = itemsOf(collection);
    Item previous = itemsByName.get(item.name());
    if (previous == null && hasDeparted(item)) {
      return false;
    }
    boolean isReplayed = previous != null && isOlder(item.content(), previous.content());
    boolean isNews = previous != null && isOlder(previous.content(), item.content());
    if (previous != null && previous.revision() >= item.revision() && !isNews) {
      return false;
    }
    if (item.content() instanceof Content.Unreadable(String reason)) {
      faults.add(new Fault(collection, item.name(), reason));
      if (collection == Collection.CONFIGURATION) {
        return true;
      }
    }
    forgetGatewaysIf(collection);
    itemsByName.put(
        item.name(), isReplayed ? succession.resolveReplay(previous, item) : accept(item));
    retainedOf(collection).remove(item.name());
    if (item.content() instanceof Content.Plan(TrafficPlan newPlan)) {
      updatePlan(newPlan);
    }
    return true;
  }

  private Item accept(Item item) {
    if (item.content() instanceof Content.Backend(BackendInstance reported)) {
      succession.confirm(reported.name());
    }
    return item;
  }

  /**
   * Returns whether an object is older than another one by its own count, whatever its revision.
   */
  private static boolean isOlder(Content content, Content other) {
    if (content instanceof Content.Plan(var older) && other instanceof Content.Plan(var newer)) {
      return older.version() < newer.version();
    }
    return content instanceof Content.Backend(var reported)
        && other instanceof Content.Backend(var current)
        && reported.isOlderThan(current);
  }

  private void forgetGatewaysIf(Collection changed) {
    if (changed == Collection.GATEWAYS) {
      gateways = null;
    }
  }

  private static Item withRevision(Item item, long revision) {
    return new Item(item.name(), revision, item.content());
  }

  private void updatePlan(TrafficPlan newPlan) {
    long previousVersion = plan.map(TrafficPlan::version).orElse(0L);
    if (newPlan.version() >= previousVersion) {
      plan = Optional.of(newPlan);
    }
    long currentVersion = plan.map(TrafficPlan::version).orElse(0L);
    monitor.checkAtMost(
        Invariant.VERSION_NEVER_FALLS, "configuration", previousVersion, currentVersion);
  }

  private void remove(Collection collection, String name, long nowNs, long graceNs) {
    if (collection == Collection.CONFIGURATION) {
      return;
    }
    forgetGatewaysIf(collection);
    Item removed = itemsOf(collection).remove(name);
    if (removed == null) {
      retainedOf(collection).remove(name);
    }
    if (removed != null && removed.content() instanceof Content.Backend(var lastReport)) {
      succession.confirm(lastReport.name());
      departures.values().removeIf(departure -> nowNs - departure.forgetAtNs >= 0);
      departures.put(name, new Departure(lastReport, nowNs + DEPARTURE_MEMORY_NS));
    }
    if (removed != null && graceNs > 0) {
      retainedOf(collection).put(name, new RetainedItem(removed, nowNs + graceNs));
    }
  }

  /** Returns whether an entry is no newer than the last report of a process that was removed. */
  private boolean hasDeparted(Item item) {
    Departure departure = departures.get(item.name());
    return departure != null
        && item.content() instanceof Content.Backend(BackendInstance reported)
        && reported.startedUnixMs() != 0
        && reported.isSameProcess(departure.lastReport)
        && reported.sequence() <= departure.lastReport.sequence();
  }

  private Map<String, RetainedItem> retainedOf(Collection collection) {
    return retained.computeIfAbsent(collection, _ -> new HashMap<>());
  }

  private Map<String, Item> itemsOf(Collection collection) {
    return items.computeIfAbsent(collection, _ -> new HashMap<>());
  }

  /** Returns the revision up to which a collection is complete; 0 if it has never been read. */
  public long revision(Collection collection) {
    return position(collection).revision();
  }

  /** Returns the position of the store up to which a collection is complete. */
  public StorePosition position(Collection collection) {
    return positions.getOrDefault(collection, StorePosition.none());
  }

  /** Returns whether all collections needed to route requests have been read. */
  public boolean isComplete() {
    return plan.isPresent()
        && revision(Collection.BACKENDS) > 0
        && revision(Collection.ZONES_OUT) > 0;
  }

  /**
   * Returns the announced gateways, also those that a copy of the store lacks for the moment; the
   * same list until one of them changes.
   */
  public List<GatewayEntry> gateways() {
    List<GatewayEntry> current = gateways;
    if (current == null) {
      List<GatewayEntry> announced = new ArrayList<>();
      for (Item item : itemsAndRetained(Collection.GATEWAYS)) {
        if (item.content() instanceof Content.Gateway(GatewayEntry gateway)) {
          announced.add(gateway);
        }
      }
      current = List.copyOf(announced);
      gateways = current;
    }
    return current;
  }

  private List<Item> itemsAndRetained(Collection collection) {
    List<Item> all = new ArrayList<>(itemsOf(collection).values());
    retainedOf(collection).values().forEach(entry -> all.add(entry.item));
    return all;
  }

  private void expireRetained(long nowNs) {
    retained.forEach(
        (collection, entries) -> {
          if (entries.values().removeIf(entry -> nowNs >= entry.untilNs)) {
            forgetGatewaysIf(collection);
          }
        });
  }

  /** Returns the objects of a collection. */
  public List<Item> items(Collection collection) {
    return List.copyOf(itemsOf(collection).values());
  }

  /** Returns and clears the objects that could not be decoded. */
  public List<Fault> drainFaults() {
    List<Fault> drained = List.copyOf(faults);
    faults.clear();
    return drained;
  }

  /**
   * Returns the traffic state at the given monotonic time; empty while there is no configuration.
   */
  public TrafficState state(long nowNs) {
    if (plan.isEmpty()) {
      return TrafficState.empty();
    }
    List<BackendInstance> backends = new ArrayList<>();
    for (Item item : itemsOf(Collection.BACKENDS).values()) {
      if (item.content() instanceof Content.Backend(BackendInstance backend)) {
        backends.add(backend);
      }
    }
    expireRetained(nowNs);
    Set<BackendName> unconfirmed = new HashSet<>();
    for (RetainedItem entry : retainedOf(Collection.BACKENDS).values()) {
      if (entry.item.content() instanceof Content.Backend(BackendInstance backend)) {
        backends.add(backend);
        unconfirmed.add(backend.name());
      }
    }
    Set<ZoneName> zonesOut = new HashSet<>();
    for (Item item : itemsAndRetained(Collection.ZONES_OUT)) {
      if (item.content() instanceof Content.ZoneOut(ZoneName zone)) {
        zonesOut.add(zone);
      }
    }
    return TrafficState.of(plan.get(), backends, zonesOut, unconfirmed);
  }
}
