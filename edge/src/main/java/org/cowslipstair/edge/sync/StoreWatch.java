package org.cowslipstair.edge.sync;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.disposables.SerialDisposable;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cowslipstair.edge.FrontSettings;
import org.cowslipstair.logic.traffic.OutageTracker;
import org.cowslipstair.logic.traffic.ViewCurrency;
import org.cowslipstair.model.traffic.StorePosition;
import org.cowslipstair.port.MonotonicClock;
import org.cowslipstair.port.ObjectFeed;
import org.cowslipstair.port.ObjectFeed.Collection;
import org.cowslipstair.port.ObjectFeed.Freshness;
import org.cowslipstair.port.StoreException;
import org.jboss.logging.Logger;

/**
 * Watches all collections of the store that are needed to route requests, and proves that what it
 * has supplied is current, since a watch can be silent for good on an open connection. Sends one
 * probe for all collections while the store is unreachable. Confined to its event loop.
 */
public final class StoreWatch {
  /** Collections that every gateway needs to route requests. */
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
  private final List<Collection> collections;
  private final ViewCurrency currency;
  private final CollectionReader reader;
  private final SerialDisposable pendingRenewal = new SerialDisposable();
  private final Map<Collection, CollectionFollower> followers = new EnumMap<>(Collection.class);
  private final Set<Collection> lostCollections = EnumSet.noneOf(Collection.class);
  private final Set<Collection> outdatedCollections = EnumSet.noneOf(Collection.class);
  private boolean renewing;

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

    /**
     * Called with a whole collection that may be known already.
     *
     * @return the changes that are missing here; if there are any, {@link #onChanged} follows
     */
    ObjectFeed.Changes missing(
        Collection collection, List<ObjectFeed.Item> items, StorePosition position);
  }

  /**
   * Creates a watch that is not started.
   *
   * @param collections collections to follow
   * @param changeBatchDelayMs pause after a change before watching again, so that further changes
   *     are batched
   */
  public StoreWatch(
      List<Collection> collections,
      ObjectFeed feed,
      Scheduler scheduler,
      MonotonicClock clock,
      RandomGenerator random,
      long changeBatchDelayMs,
      Listener listener) {
    this.collections = List.copyOf(collections);
    this.currency = new ViewCurrency(collections);
    this.feed = feed;
    this.scheduler = scheduler;
    this.clock = clock;
    this.changeBatchDelayMs = changeBatchDelayMs;
    this.listener = listener;
    this.reader = new CollectionReader(feed, scheduler);
    this.prober =
        new StoreProber(
            feed,
            scheduler,
            random,
            () -> List.copyOf(followers.values()).forEach(CollectionFollower::resume));
  }

  /** Returns the collections that a fleet with these policies follows. */
  public static List<Collection> collections(FrontSettings.FleetPolicies policies) {
    List<Collection> followed = new ArrayList<>(COLLECTIONS);
    if (policies.rollout().isPresent()) {
      followed.add(Collection.ROLLOUTS);
    }
    return followed;
  }

  /** Returns the collections that this watch follows. */
  public List<Collection> collections() {
    return collections;
  }

  /** Returns whether this watch is started. */
  public boolean isWatching() {
    return !followers.isEmpty();
  }

  /** Returns whether every collection has been listed and none has failed since. */
  public boolean isUpToDate() {
    return isWatching() && outdatedCollections.isEmpty();
  }

  /**
   * Returns the monotonic time at which every collection was current; empty if that is not known.
   */
  public OptionalLong currentAsOfNs() {
    return currency.currentAsOfNs();
  }

  /**
   * Proves anew that the collections are current if the proof is older than the given age. A
   * renewal asks for cached lists, which cost a tenth of a normal call.
   */
  public void renewProof(long maxAgeNs) {
    OptionalLong asOfNs = currency.currentAsOfNs();
    boolean isDue = asOfNs.isEmpty() || clock.nowNs() - asOfNs.getAsLong() >= maxAgeNs;
    if (isUpToDate() && isDue && !renewing) {
      renewProofBy(currency.firstBehind().orElse(Collection.ZONES_OUT));
    }
  }

  private void renewProofBy(Collection collection) {
    renewing = true;
    long askedNs = clock.nowNs();
    pendingRenewal.set(
        reader
            .read(collection, Freshness.CACHED)
            .subscribe(
                page -> handleRenewal(collection, page, askedNs), this::handleFailedRenewal));
  }

  private void handleRenewal(Collection collection, ObjectFeed.Page page, long askedNs) {
    renewing = false;
    if (currency.isFromLaterEpoch(page.position())) {
      LOG.warn("store: returned from a copy without ending the watches");
      restart();
      return;
    }
    ObjectFeed.Changes missing = listener.missing(collection, page.items(), page.position());
    if (!missing.isEmpty()) {
      LOG.infof(
          "store: %s at %s has changes that its watch has not delivered",
          collection, page.position());
      listener.onChanged(collection, missing, graceNs());
      Optional.ofNullable(followers.get(collection))
          .ifPresent(follower -> follower.advanceTo(page.position().revision()));
    }
    currency.recordSupplied(collection, page.position(), askedNs);
    currency.firstBehind().filter(next -> next != collection).ifPresent(this::renewProofBy);
  }

  private void handleFailedRenewal(Throwable cause) {
    renewing = false;
    LOG.warnf("store: failed to renew the proof of a current state: %s", cause.getMessage());
    // Whatever lost this response may have lost those of the watches, whose connections stay open.
    if (cause instanceof StoreException.AnswerLost) {
      List.copyOf(followers.values())
          .forEach(follower -> follower.suspendWatch("other calls are not answered"));
    }
  }

  /** Returns whether the store is unreachable for all collections. */
  public boolean isUnreachable() {
    return lostCollections.size() == collections.size();
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
    outdatedCollections.addAll(collections);
    for (Collection collection : collections) {
      followers.put(
          collection,
          new CollectionFollower(
              collection, feed, scheduler, clock, new FollowerListener(), changeBatchDelayMs));
    }
    if (isStateKnown) {
      followers.values().forEach(CollectionFollower::startSuspended);
      prober.probeNow();
    } else {
      followers.values().forEach(follower -> follower.start(Freshness.CACHED));
    }
  }

  /** Replaces the watches in progress by new lists, because they may never end. */
  public void restart() {
    stop();
    start(true);
  }

  /** Stops watching and probing. */
  public void stop() {
    followers.values().forEach(CollectionFollower::stop);
    followers.clear();
    prober.stop();
    pendingRenewal.set(Disposable.disposed());
    renewing = false;
    currency.reset();
  }

  private long graceNs() {
    return outageTracker.graceNs(clock.nowNs());
  }

  private final class FollowerListener implements CollectionFollower.Listener {
    @Override
    public void onListed(
        Collection collection, List<ObjectFeed.Item> items, StorePosition position, long askedNs) {
      listener.onListed(collection, items, position, graceNs());
      outdatedCollections.remove(collection);
      currency.recordSupplied(collection, position, askedNs);
    }

    @Override
    public void onChanged(Collection collection, ObjectFeed.Changes changes, long askedNs) {
      outdatedCollections.add(collection);
      if (!changes.isEmpty()) {
        listener.onChanged(collection, changes, graceNs());
      }
      outdatedCollections.remove(collection);
      currency.recordSupplied(collection, changes.position(), askedNs);
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
