package org.cowslipstair.logic.config;

import java.util.List;
import java.util.Optional;
import org.cowslipstair.model.config.ConfigVersion;
import org.cowslipstair.model.config.StoreId;

/**
 * State of the configuration of one gateway, for operators.
 *
 * @param inForce what is in force
 * @param refusedStore answer of the store that was refused, while it is
 * @param awaitedStore store that an operator accepted and whose objects did not arrive yet
 * @param invalidObjects objects whose newest version is invalid
 */
public record ConfigStatus(
    ConfigVersion inForce,
    Optional<RefusedStore> refusedStore,
    Optional<StoreId> awaitedStore,
    List<ConfigEvent.ObjectInvalid> invalidObjects) {
  /** Copies the list. */
  public ConfigStatus {
    invalidObjects = List.copyOf(invalidObjects);
  }
}
