package org.cowslipstair.model.pool;

/**
 * Report on a call, sent when a gateway releases or reuses its slot.
 *
 * @param serviceTimeNs time from the first byte sent to the end of the call; 0 if nothing was sent
 */
public record CallReport(CallOutcome end, long serviceTimeNs) {
  private static final CallReport UNUSED = new CallReport(CallOutcome.UNUSED, 0);

  /** Returns the report of a slot that no call used. */
  public static CallReport unused() {
    return UNUSED;
  }
}
