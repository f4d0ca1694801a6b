package org.cowslipstair.logic.membership;

import java.util.Collection;
import java.util.Optional;

/**
 * Decides whether a gateway is cut off from all that could tell it of new configuration: it has
 * reached neither the store, nor a peer that lately had the store, nor a majority of the last known
 * members.
 */
final class Isolation {
  private static final long NEVER = Long.MIN_VALUE / 2;

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

  boolean hasStoreContact(long nowNs) {
    return nowNs - lastStoreContactNs < settings.isolationNs();
  }

  void onStoreContact(long nowNs) {
    lastStoreContactNs = nowNs;
    lastContactNs = nowNs;
  }

  /** Makes peers count only once they are heard again. */
  void onPause(long nowNs) {
    resumedAtNs = nowNs;
  }

  /** Returns the change, if there is one. */
  Optional<MembershipEvent> evaluate(Collection<Peer> peers, long nowNs) {
    int known = 1;
    int reachable = 1;
    boolean peerHasStore = false;
    for (Peer peer : peers) {
      boolean isReachable = peer.isReachableSince(resumedAtNs);
      known += peer.countsAsKnown() ? 1 : 0;
      reachable += isReachable && peer.countsAsKnown() ? 1 : 0;
      peerHasStore |= isReachable && peer.hasStoreContact;
    }
    hasMajority = 2 * reachable > known;
    if (hasMajority || peerHasStore) {
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
