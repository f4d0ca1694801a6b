package org.cowslipstair.edge.sync;

import io.reactivex.rxjava3.core.Scheduler;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cowslipstair.logic.traffic.OutageTracker;
import org.cowslipstair.model.traffic.StorePosition;
import org.cowslipstair.port.MonotonicClock;
import org.cowslipstair.port.ObjectFeed;
import org.cowslipstair.port.ObjectFeed.Collection;
import org.cowslipstair.port.ObjectFeed.Freshness;
import org.jboss.logging.Logger;

/**
 * Watches all collections of the store that are needed to route requests. Sends one probe for all
 * of them while the store is unreachable. Confined to its event loop.
 */
public final class StoreWatch {
  /** Collections needed to route requests. */
  public static final List<Collection> COLLECTIONS =
      List.of(Collection.CONFIGURATION, Collection.BACKENDS, Collection.ZONES_OUT);

  private static final Logger LOG = Logger.getLogger(StoreWatch.class);

  private final ObjectFeed feed;
  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private final Listener listener;
  private final long changeBatchDelayMs;
  private final StoreProber prober;
  private final OutageTracker outageTracker = new OutageTracker();
  private final List<CollectionFollower> followers = new ArrayList<>();
  private final Set<Collection> lostCollections = EnumSet.noneOf(Collection.class);
  private final Set<Collection> outdatedCollections = EnumSet.noneOf(Collection.class);

  /**
   * Receives the content of the collections. {@code graceNs} is the remaining time in which backend
   * servers that expired during an outage may be renewed.
   */
  public interface Listener {
    /** Called with a whole collection. */
    void onListed(
        Collection collection, List<ObjectFeed.Item> items, StorePosition position, long graceNs);

    /** Called with changes of a collection. */
    void onChanged(Collection collection, ObjectFeed.Changes changes, long graceNs);
  }

  /**
   * Creates a watch that is not started.
   *
   * @param changeBatchDelayMs pause after a change before watching again, so that further changes
   *     are batched
   */
  public StoreWatch(
      ObjectFeed feed,
      Scheduler scheduler,
      MonotonicClock clock,
      RandomGenerator random,
      long changeBatchDelayMs,
      Listener listener) {
    this.feed = feed;
    this.scheduler = scheduler;
    this.clock = clock;
    this.changeBatchDelayMs = changeBatchDelayMs;
    this.listener = listener;
    this.prober =
        new StoreProber(
            feed, scheduler, random, () -> followers.forEach(CollectionFollower::resume));
  }

  /** Returns whether this watch is started. */
  public boolean isWatching() {
    return !followers.isEmpty();
  }

  /** Returns whether every collection has been listed and none has failed since. */
  public boolean isUpToDate() {
    return isWatching() && outdatedCollections.isEmpty();
  }

  /** Returns whether the store is unreachable for all collections. */
  public boolean isUnreachable() {
    return lostCollections.size() == COLLECTIONS.size();
  }

  /**
   * Sets the maximum mean delay between two probes of an unreachable store.
   *
   * @param ms delay in milliseconds
   */
  public void setMaxBackoff(long ms) {
    prober.setMaxBackoff(ms);
  }

  /**
   * Starts watching.
   *
   * @param isStateKnown whether all collections are known already, so that a stale list is of no
   *     use
   */
  public void start(boolean isStateKnown) {
    lostCollections.clear();
    outdatedCollections.addAll(COLLECTIONS);
    for (Collection collection : COLLECTIONS) {
      followers.add(
          new CollectionFollower(
              collection, feed, scheduler, new FollowerListener(), changeBatchDelayMs));
    }
    if (isStateKnown) {
      followers.forEach(CollectionFollower::startSuspended);
      prober.probeNow();
    } else {
      followers.forEach(follower -> follower.start(Freshness.CACHED));
    }
  }

  /** Replaces the watches in progress by new lists, because they may never end. */
  public void restart() {
    stop();
    start(true);
  }

  /** Stops watching and probing. */
  public void stop() {
    followers.forEach(CollectionFollower::stop);
    followers.clear();
    prober.stop();
  }

  private long graceNs() {
    return outageTracker.graceNs(clock.nowNs());
  }

  private final class FollowerListener implements CollectionFollower.Listener {
    @Override
    public void onListed(
        Collection collection, List<ObjectFeed.Item> items, StorePosition position) {
      listener.onListed(collection, items, position, graceNs());
      outdatedCollections.remove(collection);
    }

    @Override
    public void onChanged(Collection collection, ObjectFeed.Changes changes) {
      outdatedCollections.add(collection);
      listener.onChanged(collection, changes, graceNs());
      outdatedCollections.remove(collection);
    }

    @Override
    public void onLost(Collection collection, String cause) {
      outdatedCollections.add(collection);
      if (lostCollections.add(collection)) {
        outageTracker.recordLoss(clock.nowNs());
        LOG.warnf("store: failed to follow %s: %s", collection, cause);
      }
      prober.scheduleProbe();
    }

    @Override
    public void onRegained(Collection collection) {
      lostCollections.remove(collection);
      outageTracker.recordContact(clock.nowNs());
      prober.resetBackoff();
      LOG.infof("store: following %s again", collection);
    }
  }
}
