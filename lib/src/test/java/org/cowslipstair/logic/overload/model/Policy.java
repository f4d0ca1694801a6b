package org.cowslipstair.logic.overload.model;

/**
 * Decisions that the model can replace by those in force before.
 *
 * @param returnsWhenThereIsRoom whether Retry-After follows the room; otherwise it is 0.1 to 0.5 s
 * @param sharesFailures whether failures that all backend servers share leave the ranking alone
 * @param skipsUnresponsive whether backend servers that do not respond to a probe are left out
 * @param waitsForRoom whether patient requests wait for room and spare last slots
 */
record Policy(
    boolean returnsWhenThereIsRoom,
    boolean sharesFailures,
    boolean skipsUnresponsive,
    boolean waitsForRoom) {
  static Policy inForce() {
    return new Policy(true, true, true, true);
  }
}
