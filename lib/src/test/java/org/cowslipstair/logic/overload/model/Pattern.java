package org.cowslipstair.logic.overload.model;

import java.util.List;

/**
 * A load of one service, and what goes wrong with it.
 *
 * @param streams requests of callers, all zones together
 * @param shedShare share of the requests that every backend server rejects during the trouble
 * @param slowShare share of the backend servers that are slower during the trouble
 * @param slowFactor factor on their service times
 * @param darkZone zone whose backend servers do not respond during the trouble; -1 for none
 * @param movedShare share of the callers of the first zone's neighbors that arrive at the first
 *     zone
 */
record Pattern(
    Fleet fleet,
    List<Stream> streams,
    double shedShare,
    double slowShare,
    double slowFactor,
    int darkZone,
    double movedShare) {
  static final long TROUBLE_START_MS = 3_000;
  static final long TROUBLE_END_MS = 9_000;
  static final long END_MS = 12_000;

  /**
   * First attempts of callers.
   *
   * @param burstFactor factor on the requests between the start and the end of the trouble
   */
  record Stream(Demand demand, double requestsPerSecond, double burstFactor) {}

  private static Pattern large(
      double requestsPerSecond,
      double burstFactor,
      double shedShare,
      double slowShare,
      double slowFactor,
      int darkZone,
      double movedShare) {
    List<Stream> streams = List.of(new Stream(Demand.PAGE, requestsPerSecond, burstFactor));
    return new Pattern(
        Fleet.LARGE, streams, shedShare, slowShare, slowFactor, darkZone, movedShare);
  }

  /** A day without trouble at the load of the large deployment. */
  static Pattern calm() {
    return large(250, 1, 0, 0, 1, -1, 0);
  }

  /** Every backend server sheds half of what it gets, as on scale-1. */
  static Pattern shedding() {
    return large(400, 1, 0.55, 0, 1, -1, 0);
  }

  /** The backend servers of one zone lose power, as on trouble-2 of Vaikom's deployment. */
  static Pattern zoneGoesDark() {
    return large(400, 1, 0, 0, 1, 0, 0);
  }

  /** Many users come at once while a sixth of the backend servers is slow. */
  static Pattern burst() {
    return large(400, 2, 0, 0.16, 5, -1, 0);
  }

  /** Half of the callers of the other zones move to the first zone. */
  static Pattern shift() {
    return large(400, 1, 0, 0, 1, -1, 0.5);
  }

  /** Archive reads come twice as often beside short uploads. */
  static Pattern burstOfLongReads(Fleet fleet) {
    double perServer = fleet.servers() / 55.0;
    return new Pattern(
        fleet,
        List.of(
            new Stream(Demand.UPLOAD, 12 * perServer, 1),
            new Stream(Demand.READ, 20 * perServer, 2.2)),
        0,
        0,
        1,
        -1,
        0);
  }

  /** Status calls come half as often again: servers slow down when nearly full. */
  static Pattern burstOfShortCalls(Fleet fleet) {
    double perServer = fleet.servers() / 103.0;
    return new Pattern(
        fleet, List.of(new Stream(Demand.STATUS, 160 * perServer, 1.5)), 0, 0, 1, -1, 0);
  }

  /** A fifth of the servers of short calls is five times slower. */
  static Pattern slowServers(Fleet fleet) {
    double perServer = fleet.servers() / 103.0;
    return new Pattern(
        fleet, List.of(new Stream(Demand.STATUS, 160 * perServer, 1)), 0, 0.2, 5, -1, 0);
  }

  /** Every server of short calls sheds half of what it gets, and callers return only once. */
  static Pattern sheddingToCallersThatReturnOnce(Fleet fleet) {
    double perServer = fleet.servers() / 103.0;
    return new Pattern(
        fleet, List.of(new Stream(Demand.STATUS, 160 * perServer, 1)), 0.55, 0, 1, -1, 0);
  }

  static boolean isTrouble(long nowMs) {
    return nowMs >= TROUBLE_START_MS && nowMs < TROUBLE_END_MS;
  }
}
