package org.cowslipstair.runtime.lease;

import java.util.List;
import org.cowslipstair.logic.broker.BrokerStatus;
import org.cowslipstair.logic.lessee.LesseeStatus;

/**
 * Brokers and leases of one gateway, for state dumps.
 *
 * @param brokers pools whose broker is this gateway
 */
public record LeaseStatus(List<BrokerStatus> brokers, LesseeStatus lessee) {
  /** Copies the list. */
  public LeaseStatus {
    brokers = List.copyOf(brokers);
  }
}
