package org.cowslipstair.edge.sync;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.port.ObjectFeed;
import org.cowslipstair.port.ObjectFeed.Collection;
import org.cowslipstair.port.ObjectFeed.Page;
import org.cowslipstair.port.StoreException;
import org.junit.jupiter.api.Test;

final class StoreWatchTest {
  private static final long LAPSING_MS = 2_500;
  private final TestScheduler scheduler = new TestScheduler();
  private final FakeFeed feed = new FakeFeed();
  private long lastGraceNs;
  private final StoreWatch watch =
      new StoreWatch(
          feed,
          scheduler,
          () -> scheduler.now(TimeUnit.NANOSECONDS),
          new Random(1),
          100,
          new Recorder());

  private void list() {
    feed.lists.remove().onSuccess(new Page(List.of(), false, 1));
    scheduler.triggerActions();
  }

  private void refuse() {
    feed.lists.remove().onError(new StoreException.Unavailable("list", "status 503"));
    scheduler.triggerActions();
  }

  private void startAndList() {
    watch.start(false);
    list();
    list();
    list();
  }

  @Test
  void isCurrentOnceEveryCollectionIsListed() {
    watch.start(false);
    list();
    list();
    assertThat(watch.isCurrent(), is(false));
    list();
    assertThat(watch.isCurrent(), is(true));
  }

  @Test
  void watchOfKnownCollectionsIsNotCurrentBeforeTheStoreHasListedThem() {
    watch.start(true);
    assertThat(feed.calls, is(List.of("list CACHED")));
    list();
    assertThat("an answer is no list", watch.isCurrent(), is(false));
    assertThat(feed.calls.subList(1, 4), is(List.of("list LATEST", "list LATEST", "list LATEST")));
    list();
    list();
    list();
    assertThat(watch.isCurrent(), is(true));
  }

  @Test
  void lostCollectionIsNotCurrentUntilItIsListedAnew() {
    startAndList();
    feed.watches.remove().onError(new StoreException.AnswerLost("watch", "reset"));
    scheduler.advanceTimeBy(200, TimeUnit.MILLISECONDS);
    assertThat(watch.isCurrent(), is(false));
    assertThat(watch.isOut(), is(false));
    list();
    assertThat(watch.isCurrent(), is(false));
    list();
    assertThat(watch.isCurrent(), is(true));
  }

  @Test
  void entriesMayComeBackForAWhileAfterALongOutage() {
    startAndList();
    while (!feed.watches.isEmpty()) {
      feed.watches.remove().onError(new StoreException.Unavailable("watch", "status 503"));
    }
    scheduler.triggerActions();
    assertThat(watch.isOut(), is(true));
    for (int ms = 0; ms < LAPSING_MS; ms++) {
      scheduler.advanceTimeBy(1, TimeUnit.MILLISECONDS);
      if (!feed.lists.isEmpty()) {
        refuse();
      }
    }
    scheduler.advanceTimeBy(1, TimeUnit.SECONDS);
    list();
    list();
    assertThat(lastGraceNs > 0, is(true));
  }

  @Test
  void stoppedWatchAsksNothingAndCanStartAgain() {
    startAndList();
    feed.watches.remove().onError(new StoreException.AnswerLost("watch", "reset"));
    scheduler.triggerActions();
    watch.stop();
    int calls = feed.calls.size();
    scheduler.advanceTimeBy(10, TimeUnit.SECONDS);
    assertThat(feed.calls.size(), is(calls));
    feed.lists.clear();
    startAndList();
    assertThat(watch.isCurrent(), is(true));
  }

  private final class Recorder implements StoreWatch.Listener {
    @Override
    public void listed(
        Collection collection, List<ObjectFeed.Item> items, long revision, long graceNs) {
      lastGraceNs = graceNs;
    }

    @Override
    public void changed(Collection collection, ObjectFeed.Changes changes, long graceNs) {
      lastGraceNs = graceNs;
    }
  }
}
