package org.cowslipstair.edge.relay;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.cowslipstair.edge.FrontSettings;
import org.cowslipstair.logic.relay.WatcherSelector;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.traffic.GatewayEntry;
import org.cowslipstair.port.MonotonicClock;

/** Subscriptions of one gateway to the gateways that watch the store for it. */
final class RelaySubscriptions {
  /**
   * Maximum age of a fresh proof. A watcher renews its proof twice a second; two missing proofs
   * leave most of the time within which a change has to be in force.
   */
  static final long MAX_FRESH_PROOF_AGE_MS = 1_100;

  /** Time for which the link to a watcher without contact to the store is kept open. */
  private static final long MAX_KEPT_PROOF_AGE_MS = 15_000;

  /**
   * Duration of continuously fresh proof after which this gateway stops watching the store itself.
   */
  private static final long STEADY_PROOF_NS = 3_000_000_000L;

  /** Time after which the links to the seeds are closed; the fleet is known by then. */
  private static final long SEED_LINK_LIFETIME_NS = 4_000_000_000L;

  /**
   * Time for which a watcher that has never proved contact is retried; a gateway on a third of a
   * core takes about two seconds to start.
   */
  private static final long FIRST_PROOF_TIMEOUT_NS = 2_000_000_000L;

  /**
   * Age of its own proof from which a watcher is cut off from the store and has others supply it.
   * Together with the time to connect, this stays within the time in which a change has to be in
   * force.
   */
  private static final long MAX_OWN_PROOF_AGE_NS = 2_000_000_000L;

  private final FrontSettings settings;
  private final EventLoop loop;
  private final MonotonicClock clock;
  private final RelayLink.Listener listener;
  private final WatcherSelector watcherSelector;
  private final Map<String, RelayLink> links = new HashMap<>();
  private final List<RelayLink> seedLinks = new ArrayList<>();
  private final Map<String, Long> connectingSinceNs = new HashMap<>();
  private final long startedNs;
  private boolean fresh;
  private long freshSinceNs;
  private long staleSinceNs;
  private long ownProofNs;

  RelaySubscriptions(
      FrontSettings settings, EventLoop loop, MonotonicClock clock, RelayLink.Listener listener) {
    this.settings = settings;
    this.loop = loop;
    this.clock = clock;
    this.listener = listener;
    this.watcherSelector = new WatcherSelector(settings.name(), settings.zone());
    this.startedNs = clock.nowNs();
    this.ownProofNs = startedNs;
  }

  /** Subscribes to the seeds, so that a state is available even while the store is unreachable. */
  void openSeeds() {
    for (HostPort seed : settings.relay().seedAddresses()) {
      if (!seed.equals(settings.relay().address())) {
        GatewayEntry seedEntry = new GatewayEntry(seed.toString(), settings.zone(), seed);
        RelayLink link = new RelayLink(seedEntry, clock, listener);
        seedLinks.add(link);
        link.open(loop);
      }
    }
  }

  /**
   * Records the monotonic time at which what this gateway reads from the store was current; empty
   * if that is not known yet.
   */
  void recordOwnProof(OptionalLong asOfNs) {
    ownProofNs = asOfNs.orElse(ownProofNs);
  }

  /**
   * Maintains a link to each watcher of the zone, unless this gateway is one that is in contact
   * with the store, and closes links that are no longer needed.
   *
   * @return whether this gateway itself is a watcher
   */
  boolean update(List<GatewayEntry> gateways, GatewayEntry self, long nowNs) {
    if (nowNs - startedNs > SEED_LINK_LIFETIME_NS) {
      seedLinks.forEach(RelayLink::close);
      seedLinks.clear();
    }
    handleStaleLinks(nowNs);
    List<GatewayEntry> watchers = watcherSelector.watchers(gateways, nowNs);
    boolean isWatcher = watchers.stream().anyMatch(watcher -> watcher.name().equals(self.name()));
    boolean needsSupply = !isWatcher || nowNs - ownProofNs > MAX_OWN_PROOF_AGE_NS;
    for (GatewayEntry watcher : watchers) {
      boolean isOther = !watcher.name().equals(self.name());
      if (needsSupply && isOther && !links.containsKey(watcher.name())) {
        RelayLink link = new RelayLink(watcher, clock, listener);
        links.put(watcher.name(), link);
        connectingSinceNs.putIfAbsent(watcher.name(), nowNs);
        link.open(loop);
      }
    }
    links
        .values()
        .removeIf(
            link -> {
              boolean isNeeded = needsSupply && watchers.contains(link.peer());
              boolean isSkipped = watcherSelector.isSkipped(link.peer().name(), nowNs);
              if (!isNeeded && !isSkipped) {
                link.close();
              }
              return !isNeeded && !isSkipped;
            });
    updateFreshness(nowNs);
    return isWatcher;
  }

  private void handleStaleLinks(long nowNs) {
    links
        .values()
        .removeIf(
            link -> {
              if (link.isOpenWithProof() && link.proofAgeMs() <= MAX_FRESH_PROOF_AGE_MS) {
                watcherSelector.markReachable(link.peer().name());
                return false;
              }
              if (link.isClosed() || link.proofAgeMs() > MAX_FRESH_PROOF_AGE_MS) {
                skipStaleWatcher(link, nowNs);
                return !keepOrClose(link);
              }
              return false;
            });
  }

  /**
   * Keeps the link to a running watcher that has lost contact with the store, because it supplies
   * this gateway again once it regains contact. Closes other stale links.
   */
  private static boolean keepOrClose(RelayLink link) {
    boolean shouldKeep = link.isOpenWithProof() && link.proofAgeMs() <= MAX_KEPT_PROOF_AGE_MS;
    if (!shouldKeep) {
      link.close();
    }
    return shouldKeep;
  }

  /**
   * Skips a watcher at once if its proofs have stopped, or after a timeout if it has never sent
   * one.
   */
  private void skipStaleWatcher(RelayLink link, long nowNs) {
    String name = link.peer().name();
    long sinceNs = connectingSinceNs.getOrDefault(name, nowNs);
    if (link.hasReceivedProof() || nowNs - sinceNs > FIRST_PROOF_TIMEOUT_NS) {
      watcherSelector.markUnreachable(name, nowNs);
      connectingSinceNs.remove(name);
    }
  }

  private void updateFreshness(long nowNs) {
    boolean isFreshNow = isProvenWithin(MAX_FRESH_PROOF_AGE_MS);
    if (isFreshNow && !fresh) {
      freshSinceNs = nowNs;
    } else if (!isFreshNow && fresh) {
      staleSinceNs = nowNs;
    }
    fresh = isFreshNow;
  }

  /** Returns whether the proof of a watcher is fresh, so that the relayed state is current. */
  boolean isFresh() {
    return fresh;
  }

  /**
   * Returns whether a gateway has proved within the given time that what it supplies is current.
   */
  boolean isProvenWithin(long ms) {
    return links.values().stream()
        .anyMatch(link -> link.isOpenWithProof() && link.proofAgeMs() <= ms);
  }

  /** Returns whether the proof became stale within the given time before now. */
  boolean hasLostProofWithin(long ns, long nowNs) {
    return !fresh && freshSinceNs > 0 && nowNs - staleSinceNs < ns;
  }

  /** Returns the open links of which a proof has been received, in the order of their peers. */
  List<RelayLink> provenLinks() {
    return links.values().stream()
        .filter(RelayLink::isOpenWithProof)
        .sorted(Comparator.comparing(link -> link.peer().name()))
        .toList();
  }

  /** Returns whether this gateway is a watcher when all gateways are reachable. */
  boolean isPreferredWatcher(List<GatewayEntry> gateways) {
    return watcherSelector.isPreferredWatcher(gateways);
  }

  /** Returns whether the proof has been fresh long enough to stop watching the store. */
  boolean isSteady(long nowNs) {
    return fresh && nowNs - freshSinceNs > STEADY_PROOF_NS;
  }
}
