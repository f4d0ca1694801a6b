package org.cowslipstair.edge.relay;

import io.reactivex.rxjava3.core.Scheduler;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.edge.GatewayComponents;
import org.cowslipstair.model.traffic.GatewayEntry;
import org.cowslipstair.port.ObjectFeed;
import org.cowslipstair.port.ObjectFeed.Collection;
import org.cowslipstair.port.ObjectFeed.Content;
import org.cowslipstair.port.ObjectFeed.Freshness;
import org.jboss.logging.Logger;

/**
 * Announces this gateway in the store and lists the other ones from time to time. Confined to its
 * event loop.
 */
final class GatewayDirectory {
  private static final Logger LOG = Logger.getLogger(GatewayDirectory.class);

  /** Delays between listings of the gateways; the last one is repeated. */
  private static final long[] LISTING_DELAYS_MS = {1_500, 3_000, 6_000, 15_000};

  /**
   * Delay of the second list of the gateways after the store has come back from a copy; by then
   * those that the copy lacks have announced themselves again.
   */
  private static final long RETURN_LISTING_DELAY_MS = 3_000;

  private static final long ANNOUNCE_RETRY_MS = 2_000;

  private final GatewayComponents components;
  private final Scheduler scheduler;
  private final Listener listener;
  private Optional<GatewayEntry> self = Optional.empty();
  private int listings;
  private boolean listed;
  private boolean announced;

  /** Receives the gateways. */
  interface Listener {
    /** Returns whether this gateway has to list the others itself. */
    boolean needsList();

    /** Called with all gateways. */
    void onListed(ObjectFeed.Page page);

    /** Returns whether the store lists a gateway, unchanged. */
    boolean isKnown(GatewayEntry gateway);
  }

  GatewayDirectory(GatewayComponents components, Scheduler scheduler, Listener listener) {
    this.components = components;
    this.scheduler = scheduler;
    this.listener = listener;
  }

  /** Starts to list the gateways, and announces this one if it is not listed. */
  void start(GatewayEntry newSelf) {
    self = Optional.of(newSelf);
    listPeriodically();
  }

  /** Returns whether the gateways have been listed. */
  boolean hasBeenListed() {
    return listed;
  }

  private void listPeriodically() {
    long delayMs = LISTING_DELAYS_MS[Math.min(listings, LISTING_DELAYS_MS.length - 1)];
    listings++;
    schedule(this::listPeriodically, delayMs + components.random().nextLong(delayMs / 4));
    if (listings <= 2 || listener.needsList()) {
      list(Freshness.CACHED);
    }
  }

  private void list(Freshness freshness) {
    components
        .feed()
        .list(Collection.GATEWAYS, Optional.empty(), freshness)
        .observeOn(scheduler)
        .subscribe(
            page -> {
              listed = true;
              listener.onListed(page);
              announceOnce();
            },
            cause -> {
              LOG.warnf("fleet: failed to list the gateways: %s", cause.getMessage());
              announceOnce();
            });
  }

  /**
   * Announces this gateway once, unless the store already lists it unchanged, as after a restart.
   */
  private void announceOnce() {
    if (!announced && self.filter(listener::isKnown).isEmpty()) {
      announced = true;
      announce();
    }
  }

  private void announce() {
    components
        .feed()
        .announce(self.orElseThrow())
        .observeOn(scheduler)
        .subscribe(
            () -> {},
            cause -> {
              LOG.warnf("fleet: failed to announce this gateway: %s", cause.getMessage());
              schedule(this::announce, ANNOUNCE_RETRY_MS);
            });
  }

  /**
   * Lists the gateways anew if this gateway supplies others, since the copy may lack some of them.
   */
  void onReturnFromCopy(boolean isWatching) {
    if (isWatching) {
      list(Freshness.LATEST);
      schedule(() -> list(Freshness.LATEST), RETURN_LISTING_DELAY_MS);
    }
  }

  /** Announces this gateway again unless a list contains it. */
  void announceUnlessListed(List<ObjectFeed.Item> items) {
    boolean isListed =
        items.stream()
            .anyMatch(
                item ->
                    item.content() instanceof Content.Gateway(GatewayEntry gateway)
                        && self.equals(Optional.of(gateway)));
    if (!isListed && self.isPresent()) {
      announce();
    }
  }

  private void schedule(Runnable action, long delayMs) {
    components.loop().schedule(action, delayMs, TimeUnit.MILLISECONDS);
  }
}
