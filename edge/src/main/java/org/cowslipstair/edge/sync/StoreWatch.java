package org.cowslipstair.edge.sync;

import io.reactivex.rxjava3.core.Scheduler;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cowslipstair.logic.traffic.OutageMemory;
import org.cowslipstair.port.MonotonicClock;
import org.cowslipstair.port.ObjectFeed;
import org.cowslipstair.port.ObjectFeed.Collection;
import org.cowslipstair.port.ObjectFeed.Freshness;
import org.jboss.logging.Logger;

/**
 * Watches all that requests are routed by, from one store. Asks one question for all collections
 * while the store is out of reach. Lives on the event loop.
 */
public final class StoreWatch {
  /** What requests are routed by. */
  public static final List<Collection> COLLECTIONS =
      List.of(Collection.CONFIGURATION, Collection.BACKENDS, Collection.ZONES_OUT);

  private static final Logger LOG = Logger.getLogger(StoreWatch.class);

  private final ObjectFeed feed;
  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private final Listener listener;
  private final long gatherMs;
  private final StoreContact contact;
  private final OutageMemory outages = new OutageMemory();
  private final List<CollectionFollower> followers = new ArrayList<>();
  private final Set<Collection> lost = EnumSet.noneOf(Collection.class);
  private final Set<Collection> behind = EnumSet.noneOf(Collection.class);

  /** Receives what the store says; the last argument is {@link #graceNs}. */
  public interface Listener {
    /** A whole collection. */
    void listed(Collection collection, List<ObjectFeed.Item> items, long revision, long graceNs);

    /** Changes of a collection. */
    void changed(Collection collection, ObjectFeed.Changes changes, long graceNs);
  }

  /**
   * Creates a watch that does nothing yet.
   *
   * @param gatherMs pause after a change before watching again, in which further changes gather
   */
  public StoreWatch(
      ObjectFeed feed,
      Scheduler scheduler,
      MonotonicClock clock,
      RandomGenerator random,
      long gatherMs,
      Listener listener) {
    this.feed = feed;
    this.scheduler = scheduler;
    this.clock = clock;
    this.gatherMs = gatherMs;
    this.listener = listener;
    this.contact =
        new StoreContact(
            feed, scheduler, random, () -> followers.forEach(CollectionFollower::resume));
  }

  /** Returns whether the store is watched. */
  public boolean isOn() {
    return !followers.isEmpty();
  }

  /** Returns whether every collection was listed and none was lost since. */
  public boolean isCurrent() {
    return isOn() && behind.isEmpty();
  }

  /** Returns whether nothing could be had from the store. */
  public boolean isOut() {
    return lost.size() == COLLECTIONS.size();
  }

  /**
   * Sets the longest mean pause between two questions to a store that is out of reach.
   *
   * @param ms milliseconds
   */
  public void longestBackoff(long ms) {
    contact.longestBackoff(ms);
  }

  /**
   * Starts.
   *
   * @param isKnown whether the collections are known, so that nothing stale is of use
   */
  public void start(boolean isKnown) {
    lost.clear();
    behind.addAll(COLLECTIONS);
    for (Collection collection : COLLECTIONS) {
      followers.add(new CollectionFollower(collection, feed, scheduler, new Followed(), gatherMs));
    }
    if (isKnown) {
      followers.forEach(CollectionFollower::prepare);
      contact.askNow();
    } else {
      followers.forEach(follower -> follower.start(Freshness.CACHED));
    }
  }

  /** Stops. */
  public void stop() {
    followers.forEach(CollectionFollower::stop);
    followers.clear();
    contact.stop();
  }

  private long graceNs() {
    return outages.graceNs(clock.nowNs());
  }

  private final class Followed implements CollectionFollower.Listener {
    @Override
    public void listed(Collection collection, List<ObjectFeed.Item> items, long revision) {
      behind.remove(collection);
      listener.listed(collection, items, revision, graceNs());
    }

    @Override
    public void changed(Collection collection, ObjectFeed.Changes changes) {
      listener.changed(collection, changes, graceNs());
    }

    @Override
    public void lost(Collection collection, String cause) {
      behind.add(collection);
      if (lost.add(collection)) {
        outages.lost(clock.nowNs());
        LOG.warnf("store: %s is not followed: %s", collection, cause);
      }
      contact.lost();
    }

    @Override
    public void regained(Collection collection) {
      lost.remove(collection);
      outages.contact(clock.nowNs());
      contact.held();
      LOG.infof("store: %s is followed again", collection);
    }
  }
}
