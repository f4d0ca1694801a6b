package org.cowslipstair.model.peer;

import java.util.List;
import org.cowslipstair.model.config.RevisionRange;
import org.cowslipstair.model.config.StoreId;
import org.cowslipstair.model.config.StoredObject;

/** Messages that distribute configuration between gateways. */
public sealed interface ConfigMessage extends PeerMessage {
  /**
   * Requests all objects written after a revision.
   *
   * @param afterRevision revision that the sender has in force; 0 requests all objects
   */
  record ConfigRequest(StoreId storeId, long storeTerm, long afterRevision)
      implements ConfigMessage {}

  /**
   * One part of the objects written after one revision, up to and including another.
   *
   * @param afterRevision revision after which the objects were written; 0 if all objects are sent
   * @param revision last revision covered by all parts together
   * @param part zero-based index of this part
   * @param parts number of parts
   * @param lost revisions that the store lost when it came back from copies
   */
  record ConfigObjects(
      StoreId storeId,
      long storeTerm,
      long afterRevision,
      long revision,
      int part,
      int parts,
      List<RevisionRange> lost,
      List<StoredObject> objects)
      implements ConfigMessage {
    /** Copies the lists. */
    public ConfigObjects {
      lost = List.copyOf(lost);
      objects = List.copyOf(objects);
    }
  }

  /** Announces that an operator accepted the state of a store, which starts a new term. */
  record AcceptStore(StoreId storeId, long storeTerm) implements ConfigMessage {}
}
