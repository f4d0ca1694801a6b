package org.cowslipstair.edge.sync;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cowslipstair.model.traffic.StorePosition;
import org.cowslipstair.port.ObjectFeed;
import org.cowslipstair.port.ObjectFeed.Collection;
import org.cowslipstair.port.ObjectFeed.Freshness;
import org.cowslipstair.port.ObjectFeed.Item;
import org.cowslipstair.port.ObjectFeed.Page;
import org.cowslipstair.port.StoreException;

/** Reads whole collections of the store, page by page. */
final class CollectionReader {
  /** Maximum number of objects in a collection; a list that exceeds it is given up. */
  private static final int MAX_ITEMS = 100_000;

  private final ObjectFeed feed;
  private final Scheduler scheduler;

  CollectionReader(ObjectFeed feed, Scheduler scheduler) {
    this.feed = feed;
    this.scheduler = scheduler;
  }

  /**
   * Returns a call that reads a collection. Its position is the earliest of all pages. Starts again
   * if the store comes back from a copy between two pages.
   */
  Single<Page> read(Collection collection, Freshness freshness) {
    return readFrom(
        collection, freshness, Optional.empty(), new Page(List.of(), true, StorePosition.none()));
  }

  private Single<Page> readFrom(
      Collection collection, Freshness freshness, Optional<String> after, Page previous) {
    return feed.list(collection, after, freshness)
        .observeOn(scheduler)
        .flatMap(
            page -> {
              boolean isFirst = after.isEmpty();
              if (!isFirst && page.position().epoch() != previous.position().epoch()) {
                return read(collection, Freshness.LATEST);
              }
              List<Item> items = new ArrayList<>(previous.items());
              items.addAll(page.items());
              boolean isEarlier = page.position().compareTo(previous.position()) < 0;
              StorePosition position = isFirst || isEarlier ? page.position() : previous.position();
              if (!page.hasMore() || page.items().isEmpty()) {
                return Single.just(new Page(items, false, position));
              }
              Optional<String> last = Optional.of(page.items().getLast().name());
              if (after.equals(last) || items.size() > MAX_ITEMS) {
                return Single.error(new StoreException.Malformed("list", "pages without end"));
              }
              return readFrom(collection, freshness, last, new Page(items, true, position));
            });
  }
}
