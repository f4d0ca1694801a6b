package org.cowslipstair.model.peer;

import java.util.List;
import org.cowslipstair.model.config.StoreId;
import org.cowslipstair.model.config.StoredObject;

/** Messages that pass configuration from gateway to gateway. */
public sealed interface ConfigMessage extends PeerMessage {
  /**
   * Asks for every object written after a revision.
   *
   * @param afterRevision revision that the sender has in force; 0 asks for all objects
   */
  record ConfigRequest(StoreId storeId, long storeTerm, long afterRevision)
      implements ConfigMessage {}

  /**
   * Part of the objects written after one revision, up to and with another.
   *
   * @param afterRevision revision that the receiver must have; 0 if all objects are sent
   * @param revision revision that holds once all parts arrived
   * @param part number of this part, from 0
   * @param parts number of parts
   */
  record ConfigObjects(
      StoreId storeId,
      long storeTerm,
      long afterRevision,
      long revision,
      int part,
      int parts,
      List<StoredObject> objects)
      implements ConfigMessage {
    /** Copies the list. */
    public ConfigObjects {
      objects = List.copyOf(objects);
    }
  }

  /** Tells that an operator accepted the state of a store, which begins a term. */
  record AcceptStore(StoreId storeId, long storeTerm) implements ConfigMessage {}
}
