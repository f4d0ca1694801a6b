package org.cowslipstair.logic.broker;

import org.cowslipstair.model.fleet.GatewayId;

/** Identifies a lease: its holder and the request number under which it was granted. */
record LeaseKey(GatewayId holder, long requestNumber) {
  @Override
  public String toString() {
    return holder + "/" + requestNumber;
  }
}
