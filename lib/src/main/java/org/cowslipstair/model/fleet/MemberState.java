package org.cowslipstair.model.fleet;

/** State of a gateway in the fleet. */
public enum MemberState {
  /** Accepts calls and is eligible as broker. */
  LIVE,
  /** Completes its calls before a planned stop; not eligible as broker. */
  LEAVING,
  /** No message arrived before the timeout, or the planned stop is complete. */
  DEAD
}
