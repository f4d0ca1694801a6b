package org.cowslipstair.edge.sync;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.port.ObjectFeed.Page;
import org.cowslipstair.port.StoreException;
import org.junit.jupiter.api.Test;

final class StoreContactTest {
  private static final long LONGEST_MS = 600;
  private final TestScheduler scheduler = new TestScheduler();
  private final FakeFeed feed = new FakeFeed();
  private int answered;
  private final StoreContact contact =
      new StoreContact(feed, scheduler, new Random(1), () -> answered++);

  private void advance(long ms) {
    scheduler.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
  }

  private void refuse() {
    feed.lists.remove().onError(new StoreException.Unavailable("list", "status 503"));
    scheduler.triggerActions();
  }

  @Test
  void threeLostCollectionsAskOneCheapQuestion() {
    contact.longestBackoff(LONGEST_MS);
    contact.lost();
    contact.lost();
    contact.lost();
    advance(LONGEST_MS);
    assertThat(feed.calls, is(List.of("list CACHED")));
    feed.lists.remove().onSuccess(new Page(List.of(), false, 1));
    scheduler.triggerActions();
    assertThat(answered, is(1));
  }

  @Test
  void asksAnOutOfReachStoreFewTimesAndNeverLaterThanItsLongestPause() {
    contact.longestBackoff(LONGEST_MS);
    contact.lost();
    for (int ms = 0; ms < 8_000; ms++) {
      advance(1);
      if (!feed.lists.isEmpty()) {
        refuse();
      }
    }
    assertThat(feed.calls, everyItem(is("list CACHED")));
    assertThat(feed.calls.size(), lessThanOrEqualTo(25));
    advance(LONGEST_MS * 3 / 2);
    assertThat(feed.lists.size(), is(1));
  }

  @Test
  void pausesStartShortAgainOnceTheStoreIsFollowed() {
    contact.longestBackoff(LONGEST_MS);
    contact.lost();
    for (int i = 0; i < 6; i++) {
      advance(LONGEST_MS * 2);
      refuse();
    }
    advance(LONGEST_MS * 2);
    feed.lists.remove().onSuccess(new Page(List.of(), false, 1));
    scheduler.triggerActions();
    contact.held();
    contact.lost();
    advance(100);
    assertThat(feed.lists.size(), is(1));
  }
}
