package org.cowslipstair.edge.sync;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.SerialDisposable;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.cowslipstair.port.ObjectFeed;
import org.cowslipstair.port.ObjectFeed.Collection;
import org.cowslipstair.port.ObjectFeed.Freshness;
import org.cowslipstair.port.ObjectFeed.Item;
import org.cowslipstair.port.StoreException;
import org.jboss.logging.Logger;

/**
 * Follows one collection: lists it, then watches it from the revision of the list. After a change
 * it pauses before it watches again, so that changes which come close together cost one call. Lists
 * anew where the store has lost the history. Lives on the event loop.
 */
public final class CollectionFollower {
  private static final Logger LOG = Logger.getLogger(CollectionFollower.class);

  /** Longest wait of one watch, in milliseconds; the store's own limit is 30 s. */
  private static final long WATCH_MS = 29_000;

  private static final long FIRST_BACKOFF_MS = 60;
  private static final long LONGEST_BACKOFF_MS = 600;

  private final Collection collection;
  private final ObjectFeed feed;
  private final Scheduler scheduler;
  private final RandomGenerator random;
  private final Listener listener;
  private final long gatherMs;
  private final SerialDisposable call = new SerialDisposable();
  private List<Item> pages = new ArrayList<>();
  private long listRevision;
  private long revision;
  private int failures;
  private Freshness freshness = Freshness.CACHED;

  /** Receives what the collection holds. */
  public interface Listener {
    /** The whole collection. */
    void listed(Collection collection, List<Item> items, long revision);

    /** Changes since the last call. */
    void changed(Collection collection, ObjectFeed.Changes changes);

    /** The store was lost or is back. */
    void contact(Collection collection, boolean inContact, String cause);
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
      RandomGenerator random,
      Listener listener,
      long gatherMs) {
    this.gatherMs = gatherMs;
    this.collection = collection;
    this.feed = feed;
    this.scheduler = scheduler;
    this.random = random;
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

  /** Stops following. */
  public void stop() {
    call.dispose();
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
    if (failures > 0) {
      listener.contact(collection, true, "");
    }
    failures = 0;
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
    if (failures == 0) {
      listener.contact(collection, false, String.valueOf(cause.getMessage()));
    }
    failures++;
    freshness = listing ? freshness : Freshness.LATEST;
    later(() -> list(Optional.empty()), backoffMs());
  }

  private long backoffMs() {
    long base =
        Math.min(LONGEST_BACKOFF_MS, FIRST_BACKOFF_MS << Math.min(10, Math.max(0, failures - 1)));
    return base / 2 + random.nextLong(base);
  }

  private void later(Runnable action, long delayMs) {
    call.set(scheduler.scheduleDirect(action, delayMs, TimeUnit.MILLISECONDS));
  }
}
