package org.cowslipstair.edge.sync;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.model.traffic.StorePosition;
import org.cowslipstair.port.ObjectFeed.Page;
import org.cowslipstair.port.StoreException;
import org.junit.jupiter.api.Test;

final class StoreProberTest {
  private static final long MAX_BACKOFF_MS = 600;
  private final TestScheduler scheduler = new TestScheduler();
  private final FakeFeed feed = new FakeFeed();
  private int responses;
  private final StoreProber prober =
      new StoreProber(feed, scheduler, new Random(1), () -> responses++);

  private void advance(long ms) {
    scheduler.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
  }

  private void failProbe() {
    feed.lists.remove().onError(new StoreException.Unavailable("list", "status 503"));
    scheduler.triggerActions();
  }

  @Test
  void lossOfThreeCollectionsCausesOneCachedList() {
    prober.setMaxBackoff(MAX_BACKOFF_MS);
    prober.scheduleProbe();
    prober.scheduleProbe();
    prober.scheduleProbe();
    advance(MAX_BACKOFF_MS);
    assertThat(feed.calls, is(List.of("list CACHED")));
    feed.lists.remove().onSuccess(new Page(List.of(), false, new StorePosition(0, 1)));
    scheduler.triggerActions();
    assertThat(responses, is(1));
  }

  @Test
  void probesAnUnreachableStoreRarelyAndWithinTheMaxBackoff() {
    prober.setMaxBackoff(MAX_BACKOFF_MS);
    prober.scheduleProbe();
    for (int ms = 0; ms < 8_000; ms++) {
      advance(1);
      if (!feed.lists.isEmpty()) {
        failProbe();
      }
    }
    assertThat(feed.calls, everyItem(is("list CACHED")));
    assertThat(feed.calls.size(), lessThanOrEqualTo(25));
    advance(MAX_BACKOFF_MS * 3 / 2);
    assertThat(feed.lists.size(), is(1));
  }

  @Test
  void backoffRestartsAfterReset() {
    prober.setMaxBackoff(MAX_BACKOFF_MS);
    prober.scheduleProbe();
    for (int i = 0; i < 6; i++) {
      advance(MAX_BACKOFF_MS * 2);
      failProbe();
    }
    advance(MAX_BACKOFF_MS * 2);
    feed.lists.remove().onSuccess(new Page(List.of(), false, new StorePosition(0, 1)));
    scheduler.triggerActions();
    prober.resetBackoff();
    prober.scheduleProbe();
    advance(100);
    assertThat(feed.lists.size(), is(1));
  }
}
