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
 * Probes an unreachable store until it responds. A probe is one cached list on behalf of all
 * collections, because every call is billed and a cached list costs a tenth of a normal call.
 * Confined to its event loop.
 */
public final class StoreProber {
  private static final long INITIAL_BACKOFF_MS = 60;
  private static final long DEFAULT_MAX_BACKOFF_MS = 600;

  private final ObjectFeed feed;
  private final Scheduler scheduler;
  private final RandomGenerator random;
  private final Runnable onResponse;
  private final SerialDisposable pendingProbe = new SerialDisposable();
  private long maxBackoffMs = DEFAULT_MAX_BACKOFF_MS;
  private int failures;
  private boolean isProbing;

  /**
   * Creates an idle prober.
   *
   * @param onResponse called when the store responds to a probe
   */
  public StoreProber(
      ObjectFeed feed, Scheduler scheduler, RandomGenerator random, Runnable onResponse) {
    this.feed = feed;
    this.scheduler = scheduler;
    this.random = random;
    this.onResponse = onResponse;
  }

  /**
   * Sets the maximum mean delay between two probes.
   *
   * @param ms delay in milliseconds; actual delays vary between half and one and a half times the
   *     mean
   */
  public void setMaxBackoff(long ms) {
    maxBackoffMs = ms;
  }

  /** Probes at once unless a probe is pending. */
  public void probeNow() {
    if (!isProbing) {
      isProbing = true;
      probe();
    }
  }

  /**
   * Schedules a probe after a failed call, unless one is pending. The delay grows until {@link
   * #resetBackoff}.
   */
  public void scheduleProbe() {
    if (!isProbing) {
      isProbing = true;
      long meanDelayMs = Math.min(maxBackoffMs, INITIAL_BACKOFF_MS << Math.min(10, failures));
      failures++;
      long delayMs = meanDelayMs / 2 + random.nextLong(Math.max(1, meanDelayMs));
      pendingProbe.set(scheduler.scheduleDirect(this::probe, delayMs, TimeUnit.MILLISECONDS));
    }
  }

  /** Resets the delay, because the store is reachable again. */
  public void resetBackoff() {
    failures = 0;
  }

  /** Cancels the pending probe and resets the delay. */
  public void stop() {
    pendingProbe.set(Disposable.disposed());
    isProbing = false;
    failures = 0;
  }

  private void probe() {
    pendingProbe.set(
        feed.list(Collection.ZONES_OUT, Optional.empty(), Freshness.CACHED)
            .observeOn(scheduler)
            .subscribe(
                _ -> {
                  isProbing = false;
                  onResponse.run();
                },
                _ -> {
                  isProbing = false;
                  scheduleProbe();
                }));
  }
}
