package org.cowslipstair.standins.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;

/**
 * An object in the store, in the form in which it is sent to clients.
 *
 * @param epoch epoch of the store in which the object was last written
 * @param version revision of the store at which the object was last written
 */
public record StoreObject(
    String kind,
    String name,
    long epoch,
    long version,
    String changeId,
    boolean deleted,
    JsonNode body) {
  /** Returns the tombstone that records the deletion of this object. */
  StoreObject tombstone(long deletedInEpoch, long deletedAtVersion, String deleteChangeId) {
    return new StoreObject(
        kind,
        name,
        deletedInEpoch,
        deletedAtVersion,
        deleteChangeId,
        true,
        JsonNodeFactory.instance.objectNode());
  }

  String key() {
    return keyOf(kind, name);
  }

  static String keyOf(String kind, String name) {
    return kind + "/" + name;
  }
}
