package org.cowslipstair.logic.overload;

import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/**
 * Decides after which delay a refused caller should return: when there will be room for its
 * request. Callers that were refused together return spread over as much time again, so that they
 * do not arrive together. A caller whose request was shed although slots were free returns at once,
 * since nothing is gained by waiting.
 */
public final class ReturnDelay {
  private static final long NS_PER_MS = 1_000_000L;

  /** Minimum delay; covers the time that the refused caller needs to connect again. */
  private static final long MIN_DELAY_NS = 10 * NS_PER_MS;

  /** Width of the spread of callers that return as soon as possible. */
  private static final long MIN_SPREAD_NS = 30 * NS_PER_MS;

  /** Maximum expected time until there is room; beyond it the expectation is too uncertain. */
  private static final long MAX_ROOM_NS = 400 * NS_PER_MS;

  /** Delay and spread if nothing is known about the room, as right after a start. */
  private static final long UNKNOWN_ROOM_NS = 100 * NS_PER_MS;

  private static final long UNKNOWN_SPREAD_NS = 400 * NS_PER_MS;

  /** Maximum delay as a share of the time that the caller still waits. */
  private static final double MAX_CALLER_TIME_SHARE = 0.3;

  private final RandomGenerator random;

  /** Creates the decision with a source of the spread. */
  public ReturnDelay(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Returns the delay, in nanoseconds.
   *
   * @param roomInNs expected time until there is room, 0 if there is room already; empty if unknown
   * @param callerRemainingNs time that the caller still waits
   */
  public long delayNs(OptionalLong roomInNs, long callerRemainingNs) {
    long delayNs = roomInNs.isEmpty() ? unknownDelayNs() : knownDelayNs(roomInNs.getAsLong());
    long maxDelayNs = Math.max(0, (long) (callerRemainingNs * MAX_CALLER_TIME_SHARE));
    return Math.min(delayNs, maxDelayNs);
  }

  /**
   * Returns the delay, in nanoseconds, where it is known when requests are wanted or allowed again.
   * Returning earlier is of no use, however long the caller waits.
   *
   * @param roomInNs time until the first request is wanted or allowed
   */
  public long announcedDelayNs(long roomInNs) {
    long spreadNs = Math.clamp(roomInNs, MIN_SPREAD_NS, MAX_ROOM_NS);
    return MIN_DELAY_NS + Math.max(0, roomInNs) + (long) (random.nextDouble() * spreadNs);
  }

  private long unknownDelayNs() {
    return UNKNOWN_ROOM_NS + (long) (random.nextDouble() * UNKNOWN_SPREAD_NS);
  }

  private long knownDelayNs(long roomInNs) {
    long boundedNs = Math.clamp(roomInNs, 0, MAX_ROOM_NS);
    long spreadNs = Math.max(boundedNs, MIN_SPREAD_NS);
    return MIN_DELAY_NS + boundedNs + (long) (random.nextDouble() * spreadNs);
  }
}
