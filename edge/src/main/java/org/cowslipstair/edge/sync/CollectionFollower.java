package org.cowslipstair.edge.sync;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.SerialDisposable;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.model.traffic.StorePosition;
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

  /** Maximum number of objects in a collection; a list that exceeds it is given up. */
  private static final int MAX_ITEMS = 100_000;

  /** Time after which the collection is listed again after an unexpected error; doubles. */
  private static final long FIRST_ERROR_RETRY_MS = 1_000;

  private static final long MAX_ERROR_RETRY_MS = 16_000;

  private final Collection collection;
  private final ObjectFeed feed;
  private final Scheduler scheduler;
  private final Listener listener;
  private final long changeBatchDelayMs;
  private final SerialDisposable pendingCall = new SerialDisposable();
  private List<Item> listedItems = new ArrayList<>();
  private StorePosition listPosition = StorePosition.none();
  private long revision;
  private long errorRetryMs = FIRST_ERROR_RETRY_MS;
  private boolean failed;
  private boolean suspended;
  private Freshness freshness = Freshness.CACHED;

  /** Receives the content of the collection. */
  public interface Listener {
    /** Called with the whole collection. */
    void onListed(Collection collection, List<Item> items, StorePosition position);

    /** Called with the changes since the last call. */
    void onChanged(Collection collection, ObjectFeed.Changes changes);

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
      Listener listener,
      long changeBatchDelayMs) {
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
    list(Optional.empty());
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

  /** Lists the collection again if the follower is suspended. Called when the store responds. */
  public void resume() {
    if (suspended) {
      suspended = false;
      list(Optional.empty());
    }
  }

  private void list(Optional<String> after) {
    if (after.isEmpty()) {
      listedItems = new ArrayList<>();
      listPosition = StorePosition.none();
    }
    pendingCall.set(
        feed.list(collection, after, freshness)
            .observeOn(scheduler)
            .subscribe(
                page -> retryOnError(() -> handlePage(after, page)),
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

  private void handlePage(Optional<String> after, ObjectFeed.Page page) {
    boolean isFirst = listPosition.revision() == 0;
    if (!isFirst && page.position().epoch() != listPosition.epoch()) {
      listLatest();
      return;
    }
    listedItems.addAll(page.items());
    boolean isEarlier = page.position().compareTo(listPosition) < 0;
    listPosition = isFirst || isEarlier ? page.position() : listPosition;
    if (page.hasMore() && !page.items().isEmpty()) {
      String last = page.items().getLast().name();
      if (after.equals(Optional.of(last)) || listedItems.size() > MAX_ITEMS) {
        handleFailure(new StoreException.Malformed("list", "pages without end"), true);
      } else {
        list(Optional.of(last));
      }
      return;
    }
    handleSuccess();
    revision = listPosition.revision();
    listener.onListed(collection, listedItems, listPosition);
    errorRetryMs = FIRST_ERROR_RETRY_MS;
    watch();
  }

  private void watch() {
    pendingCall.set(
        feed.watch(collection, revision, MAX_WATCH_MS)
            .observeOn(scheduler)
            .subscribe(
                changes -> retryOnError(() -> handleChanges(changes)),
                cause -> handleFailure(cause, false)));
  }

  private void listLatest() {
    freshness = Freshness.LATEST;
    list(Optional.empty());
  }

  private void handleChanges(ObjectFeed.Changes changes) {
    handleSuccess();
    if (changes.position().epoch() != listPosition.epoch()) {
      listLatest();
      return;
    }
    revision = Math.max(revision, changes.position().revision());
    boolean hasChanges = !changes.items().isEmpty() || !changes.deleted().isEmpty();
    if (hasChanges) {
      listener.onChanged(collection, changes);
    }
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
    listener.onLost(collection, String.valueOf(cause.getMessage()));
  }

  private void schedule(Runnable action, long delayMs) {
    pendingCall.set(scheduler.scheduleDirect(action, delayMs, TimeUnit.MILLISECONDS));
  }
}
