package org.cowslipstair.model.fleet;

/** State of a gateway in the fleet. */
public enum MemberState {
  /** Takes calls and broker roles. */
  LIVE,
  /** Finishes its calls before a planned stop; takes no broker role. */
  LEAVING,
  /** Heartbeats are missing. */
  DEAD
}
