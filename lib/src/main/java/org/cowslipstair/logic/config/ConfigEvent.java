package org.cowslipstair.logic.config;

import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.StoreId;
import org.cowslipstair.model.fleet.GatewayName;

/** What an operator should know about the configuration in force. */
public sealed interface ConfigEvent {
  /** An object is invalid; its last valid version, if any, stays in force. */
  record ObjectInvalid(ObjectKey key, long version, String reason) implements ConfigEvent {}

  /** Objects of a store were refused; what is in force stays in force. */
  record StoreRefused(RefusedStore store) implements ConfigEvent {}

  /** The store that was refused answers again with the history in force. */
  record StoreRestored(StoreId storeId) implements ConfigEvent {}

  /** An operator accepted a store; its objects replace what is in force once they arrive. */
  record StoreAccepted(StoreId storeId, long storeTerm) implements ConfigEvent {}

  /** The objects of another store, or of an older state of the same store, came into force. */
  record StoreReplaced(StoreId storeId, long storeTerm, long revision) implements ConfigEvent {}

  /** A peer has the configuration of another store in force, and neither was accepted later. */
  record PeerDisagrees(GatewayName peer, StoreId storeId) implements ConfigEvent {}
}
