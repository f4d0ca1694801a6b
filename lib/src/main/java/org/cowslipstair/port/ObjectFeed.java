package org.cowslipstair.port;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.rollout.RolloutOrder;
import org.cowslipstair.model.rollout.RolloutStatus;
import org.cowslipstair.model.traffic.BackendInstance;
import org.cowslipstair.model.traffic.GatewayEntry;
import org.cowslipstair.model.traffic.StorePosition;
import org.cowslipstair.model.traffic.TrafficPlan;

/**
 * Provides decoded objects from those collections of the platform's store that a gateway watches.
 * Methods do not block; failures are signalled as {@link StoreException}.
 */
public interface ObjectFeed {
  /**
   * Lists one page of a collection.
   *
   * @param after name after which the page starts; empty for the first page
   * @param freshness how old the data may be
   */
  Single<Page> list(Collection collection, Optional<String> after, Freshness freshness);

  /**
   * Waits for changes in a collection after a revision.
   *
   * @param waitMs maximum time to wait; the result is empty if there were no changes
   */
  Single<Changes> watch(Collection collection, long revision, long waitMs);

  /** Announces this gateway to the others; also succeeds if it was announced before. */
  Completable announce(GatewayEntry gateway);

  /**
   * Records the status of a rollout, if its order has not changed since the given revision.
   *
   * @return the object as the store then has it, with another status if it has changed; fails with
   *     {@link StoreException.AnswerLost} if the status may have been recorded, which a second call
   *     tells
   */
  Single<Item> recordStatus(RolloutOrder order, RolloutStatus status);

  /** Collections in the store. */
  enum Collection {
    /** The configuration; a single object. */
    CONFIGURATION,
    /** The backend instances. */
    BACKENDS,
    /** The zones that operators took out of service. */
    ZONES_OUT,
    /** The gateways that announced themselves. */
    GATEWAYS,
    /** The orders to move a service to another version. */
    ROLLOUTS
  }

  /** How old listed data may be. */
  enum Freshness {
    /** Current at the time of the call. */
    LATEST,
    /** May be seconds old; a watch from its revision returns the later changes. */
    CACHED
  }

  /** Content of an object. */
  sealed interface Content {
    /** A configuration. */
    record Plan(TrafficPlan plan) implements Content {}

    /** A backend instance. */
    record Backend(BackendInstance backend) implements Content {}

    /** A zone that is out of service. */
    record ZoneOut(ZoneName zone) implements Content {}

    /** A gateway. */
    record Gateway(GatewayEntry gateway) implements Content {}

    /** An order to move a service to another version. */
    record Rollout(RolloutOrder order) implements Content {}

    /**
     * An object that cannot be decoded.
     *
     * @param reason invalid field and its value
     */
    record Unreadable(String reason) implements Content {}
  }

  /**
   * An object of a collection.
   *
   * @param revision store revision of its last change
   */
  record Item(String name, long revision, Content content) {}

  /**
   * A page of a collection.
   *
   * @param hasMore whether there is another page
   * @param position position of the store that the page reflects
   */
  record Page(List<Item> items, boolean hasMore, StorePosition position) {
    /** Copies the list. */
    public Page {
      items = List.copyOf(items);
    }
  }

  /**
   * Changes in a collection.
   *
   * @param items objects created or replaced
   * @param deleted names of deleted objects
   * @param position position of the store up to which the changes are complete
   */
  record Changes(List<Item> items, Set<String> deleted, StorePosition position) {
    /** Copies the collections. */
    public Changes {
      items = List.copyOf(items);
      deleted = Set.copyOf(deleted);
    }

    /** Returns whether nothing has changed. */
    public boolean isEmpty() {
      return items.isEmpty() && deleted.isEmpty();
    }
  }
}
