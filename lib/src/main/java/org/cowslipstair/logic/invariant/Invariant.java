package org.cowslipstair.logic.invariant;

/** Promises that the program checks while it runs. */
public enum Invariant {
  LEASES_WITHIN_LIMIT,
  COLD_LIMIT,
  PROBE_BUDGET,
  HEDGE_BUDGET,
  RETRY_BUDGET,
  NO_START_IN_ZONE_OUT,
  NO_START_ON_LEAVING_BACKEND,
  NON_IDEMPOTENT_ONCE,
  NOT_RUN_WAS_NOT_SENT,
  WHOLE_ANSWER,
  NO_CALL_CUT_OFF_BY_STOP,
  VERSION_NEVER_FALLS,
  ONE_GRANT_PER_REQUEST
}
