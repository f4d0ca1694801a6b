package org.cowslipstair.edge.sync;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.disposables.SerialDisposable;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.model.traffic.StorePosition;
import org.cowslipstair.port.MonotonicClock;
import org.cowslipstair.port.ObjectFeed;
import org.cowslipstair.port.ObjectFeed.Collection;
import org.cowslipstair.port.ObjectFeed.Freshness;
import org.cowslipstair.port.ObjectFeed.Item;
import org.cowslipstair.port.StoreException;
import org.jboss.logging.Logger;

/**
 * Follows one collection: lists it, then watches it from the revision of the list. After a change
 * it pauses before it watches again, so that changes in quick succession cost one call. Lists again
 * if the store has lost the history or has come back from a copy, and if an unexpected error keeps
 * this gateway from applying what it read. After a failed call it is suspended until {@link
 * #resume}. Confined to its event loop.
 */
public final class CollectionFollower {
  private static final Logger LOG = Logger.getLogger(CollectionFollower.class);

  /** Maximum wait of one watch; the store's own limit is 30 s. */
  private static final long MAX_WATCH_MS = 29_000;

  /** Time after which the collection is listed again after an unexpected error; doubles. */
  private static final long FIRST_ERROR_RETRY_MS = 1_000;

  private static final long MAX_ERROR_RETRY_MS = 16_000;

  private final Collection collection;
  private final ObjectFeed feed;
  private final CollectionReader reader;
  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private final Listener listener;
  private final long changeBatchDelayMs;
  private final SerialDisposable pendingCall = new SerialDisposable();
  private long epoch;
  private long revision;
  private long errorRetryMs = FIRST_ERROR_RETRY_MS;
  private boolean failed;
  private boolean suspended;
  private boolean watching;
  private Freshness freshness = Freshness.CACHED;

  /** Receives the content of the collection. */
  public interface Listener {
    /**
     * Called with the whole collection.
     *
     * @param askedNs monotonic time at which the store was asked for it
     */
    void onListed(Collection collection, List<Item> items, StorePosition position, long askedNs);

    /**
     * Called with the changes since the last call, also if there are none.
     *
     * @param askedNs monotonic time at which the store was asked for them
     */
    void onChanged(Collection collection, ObjectFeed.Changes changes, long askedNs);

    /**
     * Called when a call to the store failed; the follower is suspended until {@link
     * CollectionFollower#resume}.
     */
    void onLost(Collection collection, String cause);

    /** Called when a call succeeds again after a failure. */
    void onRegained(Collection collection);
  }

  /**
   * Creates a follower.
   *
   * @param changeBatchDelayMs pause after a change before watching again, so that further changes
   *     are batched
   */
  public CollectionFollower(
      Collection collection,
      ObjectFeed feed,
      Scheduler scheduler,
      MonotonicClock clock,
      Listener listener,
      long changeBatchDelayMs) {
    this.reader = new CollectionReader(feed, scheduler);
    this.clock = clock;
    this.changeBatchDelayMs = changeBatchDelayMs;
    this.collection = collection;
    this.feed = feed;
    this.scheduler = scheduler;
    this.listener = listener;
  }

  /**
   * Starts following.
   *
   * @param firstFreshness permitted staleness of the first list
   */
  public void start(Freshness firstFreshness) {
    freshness = firstFreshness;
    list();
  }

  /**
   * Starts following in the suspended state: the first {@link #resume} makes a list that is not
   * stale.
   */
  public void startSuspended() {
    freshness = Freshness.LATEST;
    suspended = true;
  }

  /** Stops following; cancels the call in progress. */
  public void stop() {
    pendingCall.dispose();
  }

  /**
   * Suspends the follower if it is watching, because the response of the watch may be lost without
   * an end of its connection.
   */
  public void suspendWatch(String cause) {
    if (watching) {
      pendingCall.set(Disposable.disposed());
      handleFailure(new StoreException.AnswerLost("watch", cause), false);
    }
  }

  /** Continues from a later revision, up to which the collection has been read by other means. */
  public void advanceTo(long readRevision) {
    revision = Math.max(revision, readRevision);
    if (watching) {
      watch();
    }
  }

  /** Lists the collection again if the follower is suspended. Called when the store responds. */
  public void resume() {
    if (suspended) {
      suspended = false;
      list();
    }
  }

  private void list() {
    long askedNs = clock.nowNs();
    watching = false;
    pendingCall.set(
        reader
            .read(collection, freshness)
            .subscribe(
                page -> retryOnError(() -> handleList(page, askedNs)),
                cause -> handleFailure(cause, true)));
  }

  /** Lists again later if what the store has answered cannot be applied. */
  private void retryOnError(Runnable handler) {
    try {
      handler.run();
    } catch (RuntimeException e) {
      LOG.errorf(
          e, "store: %s: cannot be applied, listed again in %d ms", collection, errorRetryMs);
      schedule(this::listLatest, errorRetryMs);
      errorRetryMs = Math.min(MAX_ERROR_RETRY_MS, 2 * errorRetryMs);
    }
  }

  private void handleList(ObjectFeed.Page page, long askedNs) {
    handleSuccess();
    epoch = page.position().epoch();
    revision = page.position().revision();
    listener.onListed(collection, page.items(), page.position(), askedNs);
    errorRetryMs = FIRST_ERROR_RETRY_MS;
    watch();
  }

  private void watch() {
    long askedNs = clock.nowNs();
    watching = true;
    pendingCall.set(
        feed.watch(collection, revision, MAX_WATCH_MS)
            .observeOn(scheduler)
            .subscribe(
                changes -> retryOnError(() -> handleChanges(changes, askedNs)),
                cause -> handleFailure(cause, false)));
  }

  private void listLatest() {
    freshness = Freshness.LATEST;
    list();
  }

  private void handleChanges(ObjectFeed.Changes changes, long askedNs) {
    handleSuccess();
    watching = false;
    if (changes.position().epoch() != epoch) {
      listLatest();
      return;
    }
    revision = Math.max(revision, changes.position().revision());
    listener.onChanged(collection, changes, askedNs);
    schedule(this::watch, changeBatchDelayMs);
  }

  private void handleSuccess() {
    if (failed) {
      failed = false;
      listener.onRegained(collection);
    }
  }

  private void handleFailure(Throwable cause, boolean wasListing) {
    if (cause instanceof StoreException.RevisionGone) {
      watching = false;
      listLatest();
      return;
    }
    if (!(cause instanceof StoreException)) {
      LOG.errorf(cause, "store: %s: unexpected failure", collection);
    }
    boolean mayBeStale = wasListing && freshness == Freshness.CACHED;
    freshness = mayBeStale ? Freshness.CACHED : Freshness.LATEST;
    failed = true;
    suspended = true;
    watching = false;
    listener.onLost(collection, String.valueOf(cause.getMessage()));
  }

  private void schedule(Runnable action, long delayMs) {
    pendingCall.set(scheduler.scheduleDirect(action, delayMs, TimeUnit.MILLISECONDS));
  }
}
