package org.cowslipstair.port;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.traffic.BackendInstance;
import org.cowslipstair.model.traffic.GatewayEntry;
import org.cowslipstair.model.traffic.TrafficPlan;

/**
 * Collections of the platform's store that a gateway follows, already decoded. Calls never block;
 * they fail with a {@link StoreException}.
 */
public interface ObjectFeed {
  /**
   * Lists one page of a collection.
   *
   * @param after name after which the page starts
   * @param freshness whether an answer that is seconds old is good enough
   */
  Single<Page> list(Collection collection, Optional<String> after, Freshness freshness);

  /**
   * Waits for changes after a revision.
   *
   * @param waitMs longest wait; the changes are empty if there were none
   */
  Single<Changes> watch(Collection collection, long revision, long waitMs);

  /** Announces this gateway to the others; succeeds also if that was done before. */
  Completable announce(GatewayEntry gateway);

  /** Collections. */
  enum Collection {
    /** The configuration; one object. */
    CONFIGURATION,
    /** The backend instances. */
    BACKENDS,
    /** The zones that operators took out. */
    ZONES_OUT,
    /** The gateways that announced themselves. */
    GATEWAYS
  }

  /** How old an answer may be. */
  enum Freshness {
    /** As of the call. */
    LATEST,
    /** May be seconds old; a watch from its revision brings the rest. */
    CACHED
  }

  /** What an object says. */
  sealed interface Content {
    /** A configuration. */
    record Plan(TrafficPlan plan) implements Content {}

    /** A backend instance. */
    record Backend(BackendInstance backend) implements Content {}

    /** A zone that is out. */
    record ZoneOut(ZoneName zone) implements Content {}

    /** A gateway. */
    record Gateway(GatewayEntry gateway) implements Content {}

    /**
     * An object that cannot be read.
     *
     * @param reason field and value that are wrong
     */
    record Unreadable(String reason) implements Content {}
  }

  /**
   * An object.
   *
   * @param revision revision of its last change
   */
  record Item(String name, long revision, Content content) {}

  /**
   * A page of a collection.
   *
   * @param hasMore whether another page follows
   * @param revision revision of the store
   */
  record Page(List<Item> items, boolean hasMore, long revision) {
    /** Copies the list. */
    public Page {
      items = List.copyOf(items);
    }
  }

  /**
   * Changes of a collection.
   *
   * @param items objects created or replaced
   * @param deleted names of objects that are gone
   * @param revision revision of the store up to which the changes are complete
   */
  record Changes(List<Item> items, Set<String> deleted, long revision) {
    /** Copies the collections. */
    public Changes {
      items = List.copyOf(items);
      deleted = Set.copyOf(deleted);
    }
  }
}
