package org.cowslipstair.logic.broker;

import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.peer.LeaseMessage;

/** Action that a broker requests from its runtime. */
public sealed interface BrokerAction {
  /** Sends a message to a gateway, which may be the broker's own. */
  record Send(GatewayId to, LeaseMessage message) implements BrokerAction {}

  /** Probes a backend server; the probe is already charged to its budget. */
  record Probe(BackendName backend) implements BrokerAction {}
}
