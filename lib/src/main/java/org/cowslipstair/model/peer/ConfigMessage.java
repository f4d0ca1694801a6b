package org.cowslipstair.model.peer;

import java.util.List;
import org.cowslipstair.model.config.StoreId;
import org.cowslipstair.model.config.StoredObject;

/** Messages that pass configuration from gateway to gateway. */
public sealed interface ConfigMessage extends PeerMessage {
  /** Asks for every object written after a revision. */
  record ConfigRequest(StoreId storeId, long afterRevision) implements ConfigMessage {}

  /** Objects written up to a revision of one store. */
  record ConfigObjects(StoreId storeId, long revision, List<StoredObject> objects)
      implements ConfigMessage {
    /** Copies the list. */
    public ConfigObjects {
      objects = List.copyOf(objects);
    }
  }
}
