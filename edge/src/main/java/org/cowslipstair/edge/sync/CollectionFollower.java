package org.cowslipstair.edge.sync;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.SerialDisposable;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.port.ObjectFeed;
import org.cowslipstair.port.ObjectFeed.Collection;
import org.cowslipstair.port.ObjectFeed.Freshness;
import org.cowslipstair.port.ObjectFeed.Item;
import org.cowslipstair.port.StoreException;
import org.jboss.logging.Logger;

/**
 * Follows one collection: lists it, then watches it from the revision of the list. After a change
 * it pauses before it watches again, so that changes which come close together cost one call. Lists
 * anew where the store has lost the history. After a failed call it rests until it is told that the
 * store answers. Lives on the event loop.
 */
public final class CollectionFollower {
  private static final Logger LOG = Logger.getLogger(CollectionFollower.class);

  /** Longest wait of one watch, in milliseconds; the store's own limit is 30 s. */
  private static final long WATCH_MS = 29_000;

  private final Collection collection;
  private final ObjectFeed feed;
  private final Scheduler scheduler;
  private final Listener listener;
  private final long gatherMs;
  private final SerialDisposable call = new SerialDisposable();
  private List<Item> pages = new ArrayList<>();
  private long listRevision;
  private long revision;
  private boolean failed;
  private boolean resting;
  private Freshness freshness = Freshness.CACHED;

  /** Receives what the collection holds. */
  public interface Listener {
    /** The whole collection. */
    void listed(Collection collection, List<Item> items, long revision);

    /** Changes since the last call. */
    void changed(Collection collection, ObjectFeed.Changes changes);

    /** A call failed; nothing happens before {@link CollectionFollower#resume}. */
    void lost(Collection collection, String cause);

    /** The collection is followed again. */
    void regained(Collection collection);
  }

  /**
   * Creates a follower.
   *
   * @param gatherMs pause after a change before watching again, in which further changes gather
   */
  public CollectionFollower(
      Collection collection,
      ObjectFeed feed,
      Scheduler scheduler,
      Listener listener,
      long gatherMs) {
    this.gatherMs = gatherMs;
    this.collection = collection;
    this.feed = feed;
    this.scheduler = scheduler;
    this.listener = listener;
  }

  /**
   * Starts to follow.
   *
   * @param first how old the first list may be
   */
  public void start(Freshness first) {
    freshness = first;
    list(Optional.empty());
  }

  /** Starts to follow with the first {@link #resume}, and with a list that is not stale. */
  public void prepare() {
    freshness = Freshness.LATEST;
    resting = true;
  }

  /** Stops following. */
  public void stop() {
    call.dispose();
  }

  /** The store answers: goes on if a call failed. */
  public void resume() {
    if (resting) {
      resting = false;
      list(Optional.empty());
    }
  }

  private void list(Optional<String> after) {
    if (after.isEmpty()) {
      pages = new ArrayList<>();
      listRevision = 0;
    }
    call.set(
        feed.list(collection, after, freshness)
            .observeOn(scheduler)
            .subscribe(this::listed, cause -> failed(cause, true)));
  }

  private void listed(ObjectFeed.Page page) {
    pages.addAll(page.items());
    listRevision = listRevision == 0 ? page.revision() : Math.min(listRevision, page.revision());
    if (page.hasMore() && !page.items().isEmpty()) {
      list(Optional.of(page.items().getLast().name()));
      return;
    }
    succeeded();
    revision = listRevision;
    listener.listed(collection, pages, listRevision);
    watch();
  }

  private void watch() {
    call.set(
        feed.watch(collection, revision, WATCH_MS)
            .observeOn(scheduler)
            .subscribe(this::changed, cause -> failed(cause, false)));
  }

  private void changed(ObjectFeed.Changes changes) {
    succeeded();
    revision = Math.max(revision, changes.revision());
    boolean any = !changes.items().isEmpty() || !changes.deleted().isEmpty();
    if (any) {
      listener.changed(collection, changes);
    }
    later(this::watch, gatherMs);
  }

  private void succeeded() {
    if (failed) {
      failed = false;
      listener.regained(collection);
    }
  }

  private void failed(Throwable cause, boolean listing) {
    if (cause instanceof StoreException.RevisionGone) {
      freshness = Freshness.LATEST;
      list(Optional.empty());
      return;
    }
    if (!(cause instanceof StoreException)) {
      LOG.errorf(cause, "store: %s: unexpected failure", collection);
    }
    boolean mayBeStale = listing && freshness == Freshness.CACHED;
    freshness = mayBeStale ? Freshness.CACHED : Freshness.LATEST;
    failed = true;
    resting = true;
    listener.lost(collection, String.valueOf(cause.getMessage()));
  }

  private void later(Runnable action, long delayMs) {
    call.set(scheduler.scheduleDirect(action, delayMs, TimeUnit.MILLISECONDS));
  }
}
