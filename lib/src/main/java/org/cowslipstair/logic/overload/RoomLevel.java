package org.cowslipstair.logic.overload;

/**
 * How short of room a service is, as one gateway sees it: the share of its recent requests of a
 * route that found no room in time when they first looked. Not thread-safe.
 *
 * <p>Answers a burst beyond the capacity. A few requests without room gain by waiting for slots
 * that fall free. If most find none, a line that is always full only delays each request up to the
 * end of its slack, and whatever it serves is barely in time or late.
 */
public final class RoomLevel {
  /** Weight of the newest request; about the last five count. */
  private static final double NEWEST_WEIGHT = 0.2;

  /** Share without room from which no more requests wait. */
  private static final double SHORT_FROM = 0.3;

  /** Share without room up to which requests wait again. */
  private static final double SHORT_UNTIL = 0.1;

  /** Time after which half of the past is forgotten. */
  private static final double HALF_LIFE_NS = 4e9;

  private double shareWithoutRoom;
  private long updatedNs;
  private boolean isShort;

  /** Records whether a request found room in time when it first looked. */
  public void record(boolean foundRoom, long nowNs) {
    double past = shareWithoutRoom(nowNs);
    shareWithoutRoom = past + NEWEST_WEIGHT * ((foundRoom ? 0 : 1) - past);
    updatedNs = nowNs;
  }

  /** Returns whether most requests find no room, so that waiting is in vain. */
  public boolean isShort(long nowNs) {
    double share = shareWithoutRoom(nowNs);
    isShort = isShort ? share > SHORT_UNTIL : share >= SHORT_FROM;
    return isShort;
  }

  /** Returns the share of the recent requests without room, between 0 and 1; it decays. */
  public double shareWithoutRoom(long nowNs) {
    return shareWithoutRoom * Math.pow(2, (updatedNs - nowNs) / HALF_LIFE_NS);
  }
}
