package org.cowslipstair.logic.membership;

import java.util.Collection;
import java.util.Optional;
import org.cowslipstair.model.fleet.GatewayName;

/** Picks one connected peer after the other, so that each has its turn. */
final class PeerRotation {
  private Optional<GatewayName> last = Optional.empty();

  /** Returns the next connected peer of a collection that is ordered by name. */
  Optional<GatewayName> next(Collection<Peer> peers) {
    Optional<GatewayName> first = Optional.empty();
    for (Peer peer : peers) {
      if (!peer.isConnected) {
        continue;
      }
      if (last.filter(previous -> peer.name().compareTo(previous) <= 0).isEmpty()) {
        last = Optional.of(peer.name());
        return last;
      }
      first = first.isPresent() ? first : Optional.of(peer.name());
    }
    last = first;
    return first;
  }
}
