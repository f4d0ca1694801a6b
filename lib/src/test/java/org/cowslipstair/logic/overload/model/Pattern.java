package org.cowslipstair.logic.overload.model;

/**
 * A load of one service, and what goes wrong with it.
 *
 * @param requestsPerSecond first attempts of callers, all zones together
 * @param burstFactor factor on the requests between the start and the end of the trouble
 * @param shedShare share of the requests that every backend server rejects during the trouble
 * @param slowShare share of the backend servers that are slower during the trouble
 * @param slowFactor factor on their service times
 * @param darkZone zone whose backend servers do not respond during the trouble; -1 for none
 * @param movedShare share of the callers of the first zone's neighbors that arrive at the first
 *     zone
 */
record Pattern(
    double requestsPerSecond,
    double burstFactor,
    double shedShare,
    double slowShare,
    double slowFactor,
    int darkZone,
    double movedShare) {
  static final long TROUBLE_START_MS = 3_000;
  static final long TROUBLE_END_MS = 9_000;
  static final long END_MS = 12_000;

  /** A day without trouble at the load of the large deployment. */
  static Pattern calm() {
    return new Pattern(250, 1, 0, 0, 1, -1, 0);
  }

  /** Every backend server sheds half of what it gets, as on scale-1. */
  static Pattern shedding() {
    return new Pattern(400, 1, 0.55, 0, 1, -1, 0);
  }

  /** The backend servers of one zone lose power, as on trouble-2 of Vaikom's deployment. */
  static Pattern zoneGoesDark() {
    return new Pattern(400, 1, 0, 0, 1, 0, 0);
  }

  /** Many users come at once while a sixth of the backend servers is slow. */
  static Pattern burst() {
    return new Pattern(400, 2, 0, 0.16, 5, -1, 0);
  }

  /** Half of the callers of the other zones move to the first zone. */
  static Pattern shift() {
    return new Pattern(400, 1, 0, 0, 1, -1, 0.5);
  }

  static boolean isTrouble(long nowMs) {
    return nowMs >= TROUBLE_START_MS && nowMs < TROUBLE_END_MS;
  }
}
