package org.cowslipstair.edge.sync;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.model.traffic.StorePosition;
import org.cowslipstair.port.ObjectFeed;
import org.cowslipstair.port.ObjectFeed.Changes;
import org.cowslipstair.port.ObjectFeed.Collection;
import org.cowslipstair.port.ObjectFeed.Page;
import org.cowslipstair.port.StoreException;
import org.junit.jupiter.api.Test;

final class StoreWatchTest {
  private static final long EXPIRING_OUTAGE_MS = 2_500;
  private static final int COLLECTION_COUNT = StoreWatch.COLLECTIONS.size();
  private final TestScheduler scheduler = new TestScheduler();
  private final FakeFeed feed = new FakeFeed();
  private long lastGraceNs;
  private boolean isFailing;
  private boolean isMissingChanges;
  private int suppliedLists;
  private int suppliedChanges;
  private final StoreWatch watch =
      new StoreWatch(
          StoreWatch.COLLECTIONS,
          feed,
          scheduler,
          () -> scheduler.now(TimeUnit.NANOSECONDS),
          new Random(1),
          100,
          new Recorder());

  private void completeList() {
    feed.lists.remove().onSuccess(new Page(List.of(), false, new StorePosition(0, 1)));
    scheduler.triggerActions();
  }

  private void failProbe() {
    feed.lists.remove().onError(new StoreException.Unavailable("list", "status 503"));
    scheduler.triggerActions();
  }

  private void startAndCompleteLists() {
    watch.start(false);
    completeList();
    completeList();
    completeList();
  }

  @Test
  void isUpToDateOnceEveryCollectionIsListed() {
    watch.start(false);
    completeList();
    completeList();
    assertThat(watch.isUpToDate(), is(false));
    completeList();
    assertThat(watch.isUpToDate(), is(true));
  }

  @Test
  void watchOfKnownStateIsNotUpToDateBeforeTheCollectionsAreListed() {
    watch.start(true);
    assertThat(feed.calls, is(List.of("list CACHED")));
    completeList();
    assertThat("a probe is not a list", watch.isUpToDate(), is(false));
    assertThat(feed.calls.subList(1, 4), is(List.of("list LATEST", "list LATEST", "list LATEST")));
    completeList();
    completeList();
    completeList();
    assertThat(watch.isUpToDate(), is(true));
  }

  @Test
  void lostCollectionIsNotUpToDateUntilListedAgain() {
    startAndCompleteLists();
    feed.watches.remove().onError(new StoreException.AnswerLost("watch", "reset"));
    scheduler.advanceTimeBy(200, TimeUnit.MILLISECONDS);
    assertThat(watch.isUpToDate(), is(false));
    assertThat(watch.isUnreachable(), is(false));
    completeList();
    assertThat(watch.isUpToDate(), is(false));
    completeList();
    assertThat(watch.isUpToDate(), is(true));
  }

  /** Others take what this gateway relays for current as long as it says so. */
  @Test
  void collectionWhoseChangeCannotBeAppliedIsNotUpToDateUntilListedAgain() {
    startAndCompleteLists();
    isFailing = true;
    feed.watches.remove().onSuccess(new Changes(List.of(), Set.of("a"), new StorePosition(0, 2)));
    scheduler.triggerActions();
    assertThat(watch.isUpToDate(), is(false));
    isFailing = false;
    scheduler.advanceTimeBy(1, TimeUnit.SECONDS);
    completeList();
    assertThat(watch.isUpToDate(), is(true));
  }

  @Test
  void longOutageGrantsAGrace() {
    startAndCompleteLists();
    while (!feed.watches.isEmpty()) {
      feed.watches.remove().onError(new StoreException.Unavailable("watch", "status 503"));
    }
    scheduler.triggerActions();
    assertThat(watch.isUnreachable(), is(true));
    for (int ms = 0; ms < EXPIRING_OUTAGE_MS; ms++) {
      scheduler.advanceTimeBy(1, TimeUnit.MILLISECONDS);
      if (!feed.lists.isEmpty()) {
        failProbe();
      }
    }
    scheduler.advanceTimeBy(1, TimeUnit.SECONDS);
    completeList();
    completeList();
    assertThat(lastGraceNs > 0, is(true));
  }

  @Test
  void stoppedWatchSendsNoCallsAndCanBeRestarted() {
    startAndCompleteLists();
    feed.watches.remove().onError(new StoreException.AnswerLost("watch", "reset"));
    scheduler.triggerActions();
    watch.stop();
    int calls = feed.calls.size();
    scheduler.advanceTimeBy(10, TimeUnit.SECONDS);
    assertThat(feed.calls.size(), is(calls));
    feed.lists.clear();
    startAndCompleteLists();
    assertThat(watch.isUpToDate(), is(true));
  }

  private void renewProof(Page page) {
    watch.renewProof(0);
    feed.lists.remove().onSuccess(page);
    scheduler.triggerActions();
  }

  private static Page pageAt(long revision) {
    return new Page(List.of(), false, new StorePosition(0, revision));
  }

  /** Incident 8: an answer on another connection was taken for proof that the watches work. */
  @Test
  void storeThatNamesALaterRevisionProvesNothingUntilEachCollectionIsRead() {
    startAndCompleteLists();
    scheduler.advanceTimeBy(1, TimeUnit.SECONDS);
    renewProof(pageAt(5));
    assertThat(watch.currentAsOfNs(), is(OptionalLong.of(0)));
    feed.lists.remove().onSuccess(pageAt(5));
    scheduler.triggerActions();
    assertThat(watch.currentAsOfNs(), is(OptionalLong.of(0)));
    feed.lists.remove().onSuccess(pageAt(5));
    scheduler.triggerActions();
    assertThat(watch.currentAsOfNs(), is(OptionalLong.of(1_000_000_000L)));
    assertThat("nothing else is behind", feed.lists.isEmpty(), is(true));
  }

  @Test
  void collectionWithMissedChangesIsSuppliedAndWatchedFromThere() {
    startAndCompleteLists();
    isMissingChanges = true;
    int calls = feed.calls.size();
    renewProof(pageAt(1));
    assertThat(suppliedLists, is(COLLECTION_COUNT));
    assertThat(suppliedChanges, is(1));
    assertThat(feed.calls.subList(calls, feed.calls.size()), is(List.of("list CACHED", "watch 1")));
  }

  /**
   * What loses the response of a renewal loses those of the watches, whose connections stay open.
   */
  @Test
  void lostResponseOfARenewalEndsTheWatches() {
    startAndCompleteLists();
    watch.renewProof(0);
    feed.lists.remove().onError(new StoreException.AnswerLost("list", "no answer in time"));
    scheduler.triggerActions();
    assertThat(watch.isUpToDate(), is(false));
    int calls = feed.calls.size();
    scheduler.advanceTimeBy(1, TimeUnit.SECONDS);
    completeList();
    assertThat(
        feed.calls.subList(calls, feed.calls.size()),
        is(List.of("list CACHED", "list LATEST", "list LATEST", "list LATEST")));
  }

  /** A store that turns a call away has not lost the responses of others. */
  @Test
  void rejectedRenewalKeepsTheWatches() {
    startAndCompleteLists();
    watch.renewProof(0);
    feed.lists.remove().onError(new StoreException.Unavailable("list", "status 429"));
    scheduler.triggerActions();
    assertThat(watch.isUpToDate(), is(true));
  }

  private final class Recorder implements StoreWatch.Listener {
    @Override
    public void onListed(
        Collection collection, List<ObjectFeed.Item> items, StorePosition position, long graceNs) {
      record(graceNs);
      suppliedLists++;
    }

    @Override
    public Changes missing(
        Collection collection, List<ObjectFeed.Item> items, StorePosition position) {
      return new Changes(List.of(), isMissingChanges ? Set.of("a") : Set.of(), position);
    }

    @Override
    public void onChanged(Collection collection, ObjectFeed.Changes changes, long graceNs) {
      record(graceNs);
      suppliedChanges++;
    }

    private void record(long graceNs) {
      if (isFailing) {
        throw new IllegalStateException("cannot be applied");
      }
      lastGraceNs = graceNs;
    }
  }
}
