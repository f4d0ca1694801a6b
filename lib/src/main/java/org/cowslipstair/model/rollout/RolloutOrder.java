package org.cowslipstair.model.rollout;

import java.util.Optional;
import org.cowslipstair.model.config.ServiceName;

/**
 * An operator's order to move a service to another version, with its last recorded status.
 *
 * @param name name of the object in the store
 * @param revision store revision of the object; a conditional write of the status names it
 * @param target version to move to
 * @param durationMs time from the order within which the move has to end, in milliseconds
 * @param status last recorded status; empty if none was written
 */
public record RolloutOrder(
    String name,
    long revision,
    ServiceName service,
    ServiceVersion target,
    long durationMs,
    Optional<RolloutStatus> status) {
  /** Validates the duration. */
  public RolloutOrder {
    if (durationMs <= 0) {
      throw new IllegalArgumentException(
          "rollout \"%s\" has to end within %d ms".formatted(name, durationMs));
    }
  }
}
