package org.cowslipstair.logic.overload.model;

/**
 * Requests of one route.
 *
 * @param route name of the route
 * @param priority priority of the route; 0 is the highest
 * @param workMs work at a backend server at its usual pace
 * @param targetMs target latency
 * @param timeoutMs timeout of the route
 * @param callerMs time that the caller waits, all its attempts together
 * @param maxReturns number of times that the caller returns after a refusal
 */
record Demand(
    String route,
    int priority,
    double workMs,
    long targetMs,
    long timeoutMs,
    long callerMs,
    int maxReturns) {
  /** Pages of the large deployment. */
  static final Demand PAGE = new Demand("page", 1, 160, 400, 2_500, 5_000, 2);

  /** Short urgent calls whose target leaves no time for a server at its knee. */
  static final Demand STATUS = new Demand("status", 0, 220, 500, 1_500, 2_500, 1);

  /** Short uploads beside long reads. */
  static final Demand UPLOAD = new Demand("upload", 1, 260, 2_000, 5_000, 5_000, 1);

  /** Long reads that nobody waits for. */
  static final Demand READ = new Demand("read", 2, 880, 4_000, 5_000, 8_000, 1);
}
