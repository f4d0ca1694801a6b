package org.cowslipstair.model.call;

/** Why the outcome of a call that was sent is unknown. */
public enum MayHaveRunReason {
  DEADLINE_PASSED,
  CONNECTION_LOST,
  ANSWER_MALFORMED
}
