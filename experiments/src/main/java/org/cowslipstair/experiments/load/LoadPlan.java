package org.cowslipstair.experiments.load;

import java.util.List;

/**
 * Load of one run.
 *
 * @param warmUpMs time at the start whose calls are not recorded
 * @param timeoutMs time that each caller waits
 */
public record LoadPlan(
    List<ServiceLoad> services, long warmUpMs, long durationMs, long timeoutMs, long seed) {
  /** Copies the services. */
  public LoadPlan {
    services = List.copyOf(services);
  }
}
