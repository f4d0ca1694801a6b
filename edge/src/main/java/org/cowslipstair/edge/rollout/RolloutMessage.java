package org.cowslipstair.edge.rollout;

import java.util.Optional;
import org.cowslipstair.logic.rollout.Directive;
import org.cowslipstair.logic.rollout.RolloutReport;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.rollout.ServiceVersion;

/** Message between gateways about a rollout. */
sealed interface RolloutMessage {
  /** What one gateway has seen, to the decider, which responds with {@link Told}. */
  record Report(RolloutReport report) implements RolloutMessage {}

  /**
   * What the gateways are to do.
   *
   * @param directive empty if the sender knows nothing of the order
   */
  record Told(ServiceName service, ServiceVersion target, Optional<Directive> directive)
      implements RolloutMessage {}
}
