package org.cowslipstair.logic.broker;

import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.peer.LeaseMessage;

/** What a broker wants done. */
public sealed interface BrokerAction {
  /** Send a message to a gateway, which may be the broker's own. */
  record Send(GatewayId to, LeaseMessage message) implements BrokerAction {}

  /** Probe a backend server; its budget is already charged. */
  record Probe(BackendName backend) implements BrokerAction {}
}
