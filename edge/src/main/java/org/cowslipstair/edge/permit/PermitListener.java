package org.cowslipstair.edge.permit;

/** Receives the result of a request for a permit; exactly one method is called, once. */
public interface PermitListener {
  /**
   * One request may be sent.
   *
   * @param validUntilNs monotonic time until which it may be sent
   */
  void onGranted(long validUntilNs);

  /** The backend server does not limit its rate any more. */
  void onUnlimited();

  /** No permit is available. */
  void onDenied();
}
