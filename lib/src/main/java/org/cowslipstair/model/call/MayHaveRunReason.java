package org.cowslipstair.model.call;

/** Why it is unknown whether a call that was sent was executed. */
public enum MayHaveRunReason {
  DEADLINE_PASSED,
  CONNECTION_LOST,
  ANSWER_MALFORMED,
  CRASHES_BACKENDS
}
