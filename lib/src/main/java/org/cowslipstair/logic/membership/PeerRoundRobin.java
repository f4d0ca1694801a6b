package org.cowslipstair.logic.membership;

import java.util.Collection;
import java.util.Optional;
import org.cowslipstair.model.fleet.GatewayName;

/** Picks connected peers in round-robin order. */
final class PeerRoundRobin {
  private Optional<GatewayName> lastPicked = Optional.empty();

  /**
   * Returns the next connected peer; empty if none is connected.
   *
   * @param peers peers ordered by name
   */
  Optional<GatewayName> next(Collection<Peer> peers) {
    Optional<GatewayName> first = Optional.empty();
    for (Peer peer : peers) {
      if (!peer.isConnected) {
        continue;
      }
      if (lastPicked.filter(previous -> peer.name().compareTo(previous) <= 0).isEmpty()) {
        lastPicked = Optional.of(peer.name());
        return lastPicked;
      }
      first = first.isPresent() ? first : Optional.of(peer.name());
    }
    lastPicked = first;
    return first;
  }
}
