package org.cowslipstair.edge.sync;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.disposables.SerialDisposable;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.cowslipstair.port.ObjectFeed;
import org.cowslipstair.port.ObjectFeed.Collection;
import org.cowslipstair.port.ObjectFeed.Freshness;

/**
 * Finds out when a store that was lost answers again. Asks for a list that may be stale, one for
 * all collections, as every call is paid for and such a one costs a tenth. Lives on the event loop.
 */
public final class StoreContact {
  private static final long FIRST_BACKOFF_MS = 60;
  private static final long USUAL_LONGEST_BACKOFF_MS = 600;

  private final ObjectFeed feed;
  private final Scheduler scheduler;
  private final RandomGenerator random;
  private final Runnable answers;
  private final SerialDisposable call = new SerialDisposable();
  private long longestBackoffMs = USUAL_LONGEST_BACKOFF_MS;
  private int failures;
  private boolean asking;

  /**
   * Creates a contact.
   *
   * @param answers called when the store answers
   */
  public StoreContact(
      ObjectFeed feed, Scheduler scheduler, RandomGenerator random, Runnable answers) {
    this.feed = feed;
    this.scheduler = scheduler;
    this.random = random;
    this.answers = answers;
  }

  /**
   * Sets the longest mean pause between two questions.
   *
   * @param ms milliseconds; pauses are drawn between half of it and one and a half times
   */
  public void longestBackoff(long ms) {
    longestBackoffMs = ms;
  }

  /** Asks at once. */
  public void askNow() {
    if (!asking) {
      asking = true;
      ask();
    }
  }

  /** A call to the store failed: asks after a pause that grows until {@link #held}. */
  public void lost() {
    if (!asking) {
      asking = true;
      long base = Math.min(longestBackoffMs, FIRST_BACKOFF_MS << Math.min(10, failures));
      failures++;
      long pauseMs = base / 2 + random.nextLong(Math.max(1, base));
      call.set(scheduler.scheduleDirect(this::ask, pauseMs, TimeUnit.MILLISECONDS));
    }
  }

  /** The store is followed again. */
  public void held() {
    failures = 0;
  }

  /** Asks no more until the next call. */
  public void stop() {
    call.set(Disposable.disposed());
    asking = false;
    failures = 0;
  }

  private void ask() {
    call.set(
        feed.list(Collection.ZONES_OUT, Optional.empty(), Freshness.CACHED)
            .observeOn(scheduler)
            .subscribe(
                _ -> {
                  asking = false;
                  answers.run();
                },
                _ -> {
                  asking = false;
                  lost();
                }));
  }
}
