package org.cowslipstair.logic.membership;

import java.util.Collection;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Detects whether a gateway is isolated from every source of new configuration: for some time it
 * has reached neither the store, nor a peer with recent store contact, nor a majority of the last
 * known members.
 */
final class IsolationDetector {
  private static final long NEVER_NS = Long.MIN_VALUE / 2;
  private static final long MAX_REPORTED_AGE_MS = 60_000;
  private static final long BUFFER_DRAIN_NS = TimeUnit.MILLISECONDS.toNanos(100);

  private final MembershipSettings settings;
  private long lastContactNs;
  private long lastStoreContactNs = NEVER_NS;
  private long acceptContactFromNs = NEVER_NS;
  private boolean hasMajority = true;
  private boolean isIsolated;

  IsolationDetector(MembershipSettings settings, long nowNs) {
    this.settings = settings;
    this.lastContactNs = nowNs;
  }

  boolean isIsolated() {
    return isIsolated;
  }

  boolean needsStoreContact() {
    return !hasMajority;
  }

  long storeContactAgeMs(long nowNs) {
    return Math.min(MAX_REPORTED_AGE_MS, TimeUnit.NANOSECONDS.toMillis(nowNs - lastStoreContactNs));
  }

  void onStoreContact(long nowNs) {
    if (nowNs >= acceptContactFromNs) {
      lastStoreContactNs = nowNs;
      lastContactNs = nowNs;
    }
  }

  /**
   * Ignores contact until receive buffers are drained: messages buffered during the pause do not
   * prove that a peer or the store is still reachable.
   */
  void onPause(long nowNs) {
    acceptContactFromNs = nowNs + BUFFER_DRAIN_NS;
  }

  /** Updates the state; returns an event if the gateway became isolated or rejoined. */
  Optional<MembershipEvent> evaluate(Collection<Peer> peers, long nowNs) {
    int knownCount = 1;
    int reachableCount = 1;
    for (Peer peer : peers) {
      boolean isReachable = peer.isReachableSince(acceptContactFromNs);
      knownCount += peer.countsTowardsMajority() ? 1 : 0;
      reachableCount += isReachable && peer.countsTowardsMajority() ? 1 : 0;
      if (isReachable) {
        lastContactNs = Math.max(lastContactNs, peer.lastStoreContactNs);
      }
    }
    hasMajority = 2 * reachableCount > knownCount;
    if (hasMajority && nowNs >= acceptContactFromNs) {
      lastContactNs = nowNs;
    }
    boolean shouldIsolate = nowNs - lastContactNs >= settings.isolationTimeoutNs();
    if (shouldIsolate == isIsolated) {
      return Optional.empty();
    }
    isIsolated = shouldIsolate;
    return Optional.of(
        shouldIsolate
            ? new MembershipEvent.Isolated(reachableCount, knownCount)
            : new MembershipEvent.Rejoined(reachableCount, knownCount));
  }
}
