package org.cowslipstair.edge.relay;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.cowslipstair.edge.FrontSettings;
import org.cowslipstair.logic.relay.WatcherRoles;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.traffic.GatewayEntry;
import org.cowslipstair.port.MonotonicClock;

/** The subscriptions of one gateway to those that watch the store for it. */
final class RelaySubscriptions {
  /**
   * Oldest proof that counts as fresh. A watcher proves its contact twice a second; two missing
   * proofs leave most of the time in which a change has to be in force.
   */
  private static final long FRESH_MS = 1_100;

  /** Time for which the connection to a watcher without contact to the store is kept. */
  private static final long SILENT_MS = 15_000;

  /** Time of fresh proof after which this gateway stops watching itself. */
  private static final long STEADY_NS = 3_000_000_000L;

  /** Time after which subscriptions to seeds end; by then the fleet is known. */
  private static final long SEED_NS = 4_000_000_000L;

  /**
   * Time for which a watcher that never proved contact is tried again; a machine with a third of a
   * core takes about two seconds to start.
   */
  private static final long PATIENCE_NS = 2_000_000_000L;

  private final FrontSettings settings;
  private final EventLoop loop;
  private final MonotonicClock clock;
  private final Consumer<RelayMessage> consumer;
  private final WatcherRoles roles;
  private final Map<String, RelayLink> links = new HashMap<>();
  private final List<RelayLink> seeds = new ArrayList<>();
  private final Map<String, Long> triedSinceNs = new HashMap<>();
  private final long startedNs;
  private boolean fresh;
  private long freshSinceNs;
  private long lostSinceNs;

  RelaySubscriptions(
      FrontSettings settings,
      EventLoop loop,
      MonotonicClock clock,
      Consumer<RelayMessage> consumer) {
    this.settings = settings;
    this.loop = loop;
    this.clock = clock;
    this.consumer = consumer;
    this.roles = new WatcherRoles(settings.name(), settings.zone());
    this.startedNs = clock.nowNs();
  }

  /** Subscribes to the seeds, so that a state is there even while the store is out of reach. */
  void openSeeds() {
    for (HostPort seed : settings.relay().seeds()) {
      if (!seed.equals(settings.relay().address())) {
        GatewayEntry entry = new GatewayEntry(seed.toString(), settings.zone(), seed);
        RelayLink link = new RelayLink(entry, clock, consumer::accept);
        seeds.add(link);
        link.open(loop);
      }
    }
  }

  /**
   * Keeps a subscription to each watcher of the zone.
   *
   * @return whether this gateway is a watcher itself
   */
  boolean update(List<GatewayEntry> gateways, GatewayEntry self, long nowNs) {
    if (nowNs - startedNs > SEED_NS) {
      seeds.forEach(RelayLink::close);
      seeds.clear();
    }
    dropStale(nowNs);
    List<GatewayEntry> watchers = roles.watchers(gateways, nowNs);
    boolean isWatcher = watchers.stream().anyMatch(watcher -> watcher.name().equals(self.name()));
    for (GatewayEntry watcher : watchers) {
      boolean isOther = !watcher.name().equals(self.name());
      if (!isWatcher && isOther && !links.containsKey(watcher.name())) {
        RelayLink link = new RelayLink(watcher, clock, consumer::accept);
        links.put(watcher.name(), link);
        triedSinceNs.putIfAbsent(watcher.name(), nowNs);
        link.open(loop);
      }
    }
    links
        .values()
        .removeIf(
            link -> {
              boolean wanted = !isWatcher && watchers.contains(link.peer());
              boolean mayReturn = roles.isPassedOver(link.peer().name(), nowNs);
              if (!wanted && !mayReturn) {
                link.close();
              }
              return !wanted && !mayReturn;
            });
    updateFresh(nowNs);
    return isWatcher;
  }

  private void dropStale(long nowNs) {
    links
        .values()
        .removeIf(
            link -> {
              if (link.isProven() && link.ageMs() <= FRESH_MS) {
                roles.reachable(link.peer().name());
                return false;
              }
              if (link.isClosed() || link.ageMs() > FRESH_MS) {
                dropped(link, nowNs);
                return !mayReturn(link);
              }
              return false;
            });
  }

  /** A watcher that is blind and not gone supplies this gateway again when it has contact. */
  private static boolean mayReturn(RelayLink link) {
    boolean kept = link.isProven() && link.ageMs() <= SILENT_MS;
    if (!kept) {
      link.close();
    }
    return kept;
  }

  /** Passes a watcher over at once if it fell silent, and after some patience if it never spoke. */
  private void dropped(RelayLink link, long nowNs) {
    String name = link.peer().name();
    long sinceNs = triedSinceNs.getOrDefault(name, nowNs);
    if (link.wasProven() || nowNs - sinceNs > PATIENCE_NS) {
      roles.unreachable(name, nowNs);
      triedSinceNs.remove(name);
    }
  }

  private void updateFresh(long nowNs) {
    boolean now =
        links.values().stream().anyMatch(link -> link.isProven() && link.ageMs() <= FRESH_MS);
    if (now && !fresh) {
      freshSinceNs = nowNs;
    } else if (!now && fresh) {
      lostSinceNs = nowNs;
    }
    fresh = now;
  }

  /** Returns whether a watcher proves that what it passes on is current. */
  boolean isFresh() {
    return fresh;
  }

  /** Returns whether the last proof has become stale within the given time. */
  boolean lostWithin(long ns, long nowNs) {
    return !fresh && freshSinceNs > 0 && nowNs - lostSinceNs < ns;
  }

  /** Returns whether this gateway is a watcher while all are well. */
  boolean isFirstChoice(List<GatewayEntry> gateways) {
    return roles.isFirstChoice(gateways);
  }

  /** Returns whether the proof has been fresh for a while. */
  boolean isSteady(long nowNs) {
    return fresh && nowNs - freshSinceNs > STEADY_NS;
  }
}
