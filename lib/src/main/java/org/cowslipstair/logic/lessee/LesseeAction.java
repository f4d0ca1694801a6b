package org.cowslipstair.logic.lessee;

import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.peer.LeaseMessage;

/** Action that a lessee requests from its runtime. */
public sealed interface LesseeAction {
  /** Sends a message to a broker, which may be this gateway. */
  record Send(GatewayId to, LeaseMessage message) implements LesseeAction {}

  /** Admits a call with a lease. */
  record Admitted(long callId, Lease lease) implements LesseeAction {}

  /** Refuses a call. */
  record NotAdmitted(long callId, NotRunReason reason) implements LesseeAction {}
}
