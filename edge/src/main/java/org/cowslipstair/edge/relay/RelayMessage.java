package org.cowslipstair.edge.relay;

import java.util.List;
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
   * Proof that the sender is in contact with the store.
   *
   * @param ageMs time since the store last responded to the sender
   */
  record ContactProof(long ageMs) implements RelayMessage {}
}
