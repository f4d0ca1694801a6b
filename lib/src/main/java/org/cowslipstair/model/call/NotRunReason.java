package org.cowslipstair.model.call;

/** Why a call failed without being executed. */
public enum NotRunReason {
  NO_ROUTE,
  NO_BACKEND,
  NO_FREE_SLOT,
  DEADLINE_TOO_CLOSE,
  BACKEND_SHED,
  BACKEND_UNREACHABLE,
  GATEWAY_BUSY,
  GATEWAY_STOPPING,
  GATEWAY_ISOLATED,
  NO_CONFIGURATION,
  DUPLICATE_KEY,
  MISSING_KEY,
  STORE_UNAVAILABLE,
  CALLER_GONE
}
