package org.cowslipstair.logic.membership;

import java.util.Collection;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Decides whether a gateway is cut off from all that could tell it of new configuration: it has
 * reached neither the store, nor a peer that lately had the store, nor a majority of the last known
 * members.
 */
final class Isolation {
  private static final long NEVER = Long.MIN_VALUE / 2;
  private static final long MAX_AGE_MS = 60_000;
  private static final long DRAIN_NS = TimeUnit.MILLISECONDS.toNanos(100);

  private final MembershipSettings settings;
  private long lastContactNs;
  private long lastStoreContactNs = NEVER;
  private long resumedAtNs = NEVER;
  private boolean hasMajority = true;
  private boolean isIsolated;

  Isolation(MembershipSettings settings, long nowNs) {
    this.settings = settings;
    this.lastContactNs = nowNs;
  }

  boolean isIsolated() {
    return isIsolated;
  }

  boolean wantsStoreContact() {
    return !hasMajority;
  }

  long storeContactAgeMs(long nowNs) {
    return Math.min(MAX_AGE_MS, TimeUnit.NANOSECONDS.toMillis(nowNs - lastStoreContactNs));
  }

  void onStoreContact(long nowNs) {
    if (nowNs >= resumedAtNs) {
      lastStoreContactNs = nowNs;
      lastContactNs = nowNs;
    }
  }

  /** Makes peers and store count only once they are heard again, not by what lay in buffers. */
  void onPause(long nowNs) {
    resumedAtNs = nowNs + DRAIN_NS;
  }

  /** Returns the change, if there is one. */
  Optional<MembershipEvent> evaluate(Collection<Peer> peers, long nowNs) {
    int known = 1;
    int reachable = 1;
    for (Peer peer : peers) {
      boolean isReachable = peer.isReachableSince(resumedAtNs);
      known += peer.countsAsKnown() ? 1 : 0;
      reachable += isReachable && peer.countsAsKnown() ? 1 : 0;
      if (isReachable) {
        lastContactNs = Math.max(lastContactNs, peer.storeContactNs);
      }
    }
    hasMajority = 2 * reachable > known;
    if (hasMajority && nowNs >= resumedAtNs) {
      lastContactNs = nowNs;
    }
    boolean isCutOff = nowNs - lastContactNs >= settings.isolationNs();
    if (isCutOff == isIsolated) {
      return Optional.empty();
    }
    isIsolated = isCutOff;
    return Optional.of(
        isCutOff
            ? new MembershipEvent.Isolated(reachable, known)
            : new MembershipEvent.Rejoined(reachable, known));
  }
}
