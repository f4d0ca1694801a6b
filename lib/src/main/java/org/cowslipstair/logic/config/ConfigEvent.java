package org.cowslipstair.logic.config;

import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.RevisionRange;
import org.cowslipstair.model.config.StoreId;
import org.cowslipstair.model.fleet.GatewayName;

/** An event about the configuration in force, to be logged for operators. */
public sealed interface ConfigEvent {
  /** An object is invalid; its last valid version, if any, stays in force. */
  record ObjectInvalid(ObjectKey key, long version, String reason) implements ConfigEvent {}

  /** A batch from a store was refused; the configuration in force does not change. */
  record StoreRefused(RefusedStore store) implements ConfigEvent {}

  /** The store has come back from a copy; what was written at the lost revisions stays in force. */
  record StoreReturned(StoreId storeId, long revision, RevisionRange lost) implements ConfigEvent {}

  /** The refused store is consistent with the configuration in force again. */
  record StoreRestored(StoreId storeId) implements ConfigEvent {}

  /** An operator accepted a store; its objects replace those in force once they arrive. */
  record StoreAccepted(StoreId storeId, long storeTerm) implements ConfigEvent {}

  /** The objects of another store, or of an older state of the same store, came into force. */
  record StoreReplaced(StoreId storeId, long storeTerm, long revision) implements ConfigEvent {}

  /** A peer has another store in force, and no operator accepted either of the two stores. */
  record PeerDisagrees(GatewayName peer, StoreId storeId) implements ConfigEvent {}
}
