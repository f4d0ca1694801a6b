package org.cowslipstair.logic.lessee;

import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.peer.LeaseMessage;

/** What a lessee wants done. */
public sealed interface LesseeAction {
  /** Send a message to a broker, which may be this gateway. */
  record Send(GatewayId to, LeaseMessage message) implements LesseeAction {}

  /** Let a call use a lease. */
  record Admitted(long callId, Lease lease) implements LesseeAction {}

  /** Refuse a call. */
  record NotAdmitted(long callId, NotRunReason reason) implements LesseeAction {}
}
