package org.cowslipstair.runtime.lease;

import java.util.List;
import org.cowslipstair.logic.broker.BrokerStatus;
import org.cowslipstair.logic.lessee.LesseeStatus;

/**
 * Status of the brokers and the lessee of one gateway, for state dumps.
 *
 * @param brokers status of the brokers that run on this gateway
 */
public record LeaseStatus(List<BrokerStatus> brokers, LesseeStatus lessee) {
  /** Copies the list. */
  public LeaseStatus {
    brokers = List.copyOf(brokers);
  }
}
