package org.cowslipstair.edge.relay;

import java.util.List;
import org.cowslipstair.port.ObjectFeed.Changes;
import org.cowslipstair.port.ObjectFeed.Collection;
import org.cowslipstair.port.ObjectFeed.Item;

/** What a gateway that watches the store tells one that does not. */
sealed interface RelayMessage {
  /** A whole collection as of one revision. */
  record Snapshot(Collection collection, long revision, List<Item> items) implements RelayMessage {
    /** Copies the list. */
    public Snapshot {
      items = List.copyOf(items);
    }
  }

  /**
   * Changes that follow on what was sent before.
   *
   * @param graceMs time for which backend servers that are deleted may still come back
   */
  record Changed(Collection collection, Changes changes, long graceMs) implements RelayMessage {}

  /**
   * Proof that the sender is in contact with the store.
   *
   * @param ageMs time since the store last answered the sender
   */
  record Proof(long ageMs) implements RelayMessage {}
}
