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
import org.cowslipstair.model.traffic.TrafficPlan;
import org.cowslipstair.model.traffic.TrafficState;
import org.cowslipstair.port.ObjectFeed.Changes;
import org.cowslipstair.port.ObjectFeed.Collection;
import org.cowslipstair.port.ObjectFeed.Content;
import org.cowslipstair.port.ObjectFeed.Item;

/**
 * Joins what the collections of the store say into one state. Nothing older ever replaces something
 * newer: an object keeps its highest revision, the configuration its highest version. Not safe for
 * use by many threads.
 */
public final class TrafficKeeper {
  private final InvariantMonitor monitor;
  private final Map<Collection, Map<String, Item>> items = new HashMap<>();
  private final Map<Collection, Long> revisions = new HashMap<>();
  private final Map<String, Lapsed> lapsed = new HashMap<>();
  private final List<Fault> faults = new ArrayList<>();
  private Optional<TrafficPlan> plan = Optional.empty();

  /** Creates a keeper that knows nothing. */
  public TrafficKeeper(InvariantMonitor monitor) {
    this.monitor = monitor;
    for (Collection collection : Collection.values()) {
      items.put(collection, new HashMap<>());
    }
  }

  /** An object that could not be read. */
  public record Fault(Collection collection, String name, String reason) {}

  private record Lapsed(Item item, long untilNs) {}

  /**
   * Takes a whole collection as of one revision; does nothing if a newer one is known.
   *
   * @param graceNs time for which backend servers that are missing now may still come back
   */
  public void replace(
      Collection collection, List<Item> all, long revision, long nowNs, long graceNs) {
    if (revision < revisions.getOrDefault(collection, 0L)) {
      return;
    }
    revisions.put(collection, revision);
    Set<String> names = new HashSet<>();
    for (Item item : all) {
      names.add(item.name());
      put(collection, item);
    }
    for (String known : List.copyOf(itemsOf(collection).keySet())) {
      if (!names.contains(known)) {
        remove(collection, known, nowNs, graceNs);
      }
    }
  }

  /**
   * Takes changes up to a revision; does nothing if what is known is as new.
   *
   * @param graceNs time for which backend servers that are deleted may still come back
   */
  public void apply(Collection collection, Changes changes, long nowNs, long graceNs) {
    if (changes.revision() <= revisions.getOrDefault(collection, 0L)) {
      return;
    }
    revisions.put(collection, changes.revision());
    changes.items().forEach(item -> put(collection, item));
    changes.deleted().forEach(name -> remove(collection, name, nowNs, graceNs));
  }

  private void put(Collection collection, Item item) {
    Map<String, Item> known = itemsOf(collection);
    Item before = known.get(item.name());
    if (before != null && before.revision() >= item.revision()) {
      return;
    }
    if (item.content() instanceof Content.Unreadable(String reason)) {
      faults.add(new Fault(collection, item.name(), reason));
      if (collection == Collection.CONFIGURATION) {
        return;
      }
    }
    boolean replayed =
        before != null
            && before.content() instanceof Content.Backend(BackendInstance held)
            && item.content() instanceof Content.Backend(BackendInstance reported)
            && reported.isOlderThan(held);
    known.put(item.name(), replayed ? withRevision(before, item.revision()) : item);
    lapsed.remove(item.name());
    if (item.content() instanceof Content.Plan(TrafficPlan newer)) {
      takePlan(newer);
    }
  }

  private static Item withRevision(Item item, long revision) {
    return new Item(item.name(), revision, item.content());
  }

  private void takePlan(TrafficPlan newer) {
    long inForce = plan.map(TrafficPlan::version).orElse(0L);
    if (newer.version() >= inForce) {
      plan = Optional.of(newer);
    }
    long now = plan.map(TrafficPlan::version).orElse(0L);
    monitor.checkAtMost(Invariant.VERSION_NEVER_FALLS, "configuration", inForce, now);
  }

  private void remove(Collection collection, String name, long nowNs, long graceNs) {
    if (collection == Collection.CONFIGURATION) {
      return;
    }
    Item gone = itemsOf(collection).remove(name);
    if (gone != null && graceNs > 0 && collection == Collection.BACKENDS) {
      lapsed.put(name, new Lapsed(gone, nowNs + graceNs));
    }
  }

  private Map<String, Item> itemsOf(Collection collection) {
    return items.computeIfAbsent(collection, _ -> new HashMap<>());
  }

  /** Returns the revision up to which a collection is complete, 0 if it was never read. */
  public long revision(Collection collection) {
    return revisions.getOrDefault(collection, 0L);
  }

  /** Returns whether everything that requests are routed by was read. */
  public boolean isComplete() {
    return plan.isPresent()
        && revision(Collection.BACKENDS) > 0
        && revision(Collection.ZONES_OUT) > 0;
  }

  /** Returns the gateways that announced themselves. */
  public List<GatewayEntry> gateways() {
    List<GatewayEntry> gateways = new ArrayList<>();
    for (Item item : itemsOf(Collection.GATEWAYS).values()) {
      if (item.content() instanceof Content.Gateway(GatewayEntry gateway)) {
        gateways.add(gateway);
      }
    }
    return List.copyOf(gateways);
  }

  /** Returns the objects of a collection. */
  public List<Item> items(Collection collection) {
    return List.copyOf(itemsOf(collection).values());
  }

  /** Returns and clears the objects that could not be read. */
  public List<Fault> takeFaults() {
    List<Fault> taken = List.copyOf(faults);
    faults.clear();
    return taken;
  }

  /** Returns the state at the given time. */
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
    lapsed.values().removeIf(entry -> nowNs >= entry.untilNs);
    Set<BackendName> doubtful = new HashSet<>();
    for (Lapsed entry : lapsed.values()) {
      if (entry.item.content() instanceof Content.Backend(BackendInstance backend)) {
        backends.add(backend);
        doubtful.add(backend.name());
      }
    }
    Set<ZoneName> zonesOut = new HashSet<>();
    for (Item item : itemsOf(Collection.ZONES_OUT).values()) {
      if (item.content() instanceof Content.ZoneOut(ZoneName zone)) {
        zonesOut.add(zone);
      }
    }
    return TrafficState.of(plan.get(), backends, zonesOut, doubtful);
  }
}
