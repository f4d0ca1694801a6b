package org.cowslipstair.edge.relay;

import java.util.List;
import java.util.Map;
import org.cowslipstair.model.traffic.StorePosition;
import org.cowslipstair.port.ObjectFeed.Changes;
import org.cowslipstair.port.ObjectFeed.Collection;
import org.cowslipstair.port.ObjectFeed.Item;

/** Message from a gateway that watches the store to one that does not. */
sealed interface RelayMessage {
  /** A whole collection at one position of the store. */
  record Snapshot(Collection collection, StorePosition position, List<Item> items)
      implements RelayMessage {
    /** Copies the list. */
    public Snapshot {
      items = List.copyOf(items);
    }
  }

  /**
   * Changes of a collection since the previous message about it.
   *
   * @param graceMs time for which deleted backend servers are retained, because they may be renewed
   */
  record Update(Collection collection, Changes changes, long graceMs) implements RelayMessage {}

  /**
   * Proof that the sender has what the store has.
   *
   * @param ageMs time since the sender's state was current
   * @param positions position of each proven collection in the sender's last message about it
   */
  record CurrencyProof(long ageMs, Map<Collection, StorePosition> positions)
      implements RelayMessage {
    /** Copies the map. */
    public CurrencyProof {
      positions = Map.copyOf(positions);
    }
  }
}
