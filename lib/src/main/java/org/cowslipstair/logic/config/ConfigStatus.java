package org.cowslipstair.logic.config;

import java.util.List;
import java.util.Optional;
import org.cowslipstair.model.config.ConfigVersion;
import org.cowslipstair.model.config.StoreId;

/**
 * Configuration status of one gateway, for operators.
 *
 * @param inForce version in force
 * @param refusedStore latest refused batch; empty if the store is not refused at present
 * @param awaitedStore store that an operator accepted and whose objects have not arrived yet
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
