package org.cowslipstair.logic.placement;

import java.util.Optional;

/**
 * Decides for one request which backend server it is sent to, and when enough of them have been
 * probed. A server of the gateway's own zone comes first as long as the request is expected to be
 * in time there; a server of another zone is preferred only if it makes the difference between in
 * time and late. A hedge leaves its zone only if no server there can take it.
 *
 * @param serviceTimeNs usual service time of the route
 * @param targetDeadlineNs monotonic time at which the target latency is reached
 * @param selectionEndNs monotonic time after which the best backend server found is selected, or
 *     the request is refused if there is none
 * @param deadlineNs monotonic time at which the caller gets a response in any case
 * @param isHedge whether the request is already running on another backend server
 * @param waiting whether the request may wait for room, and what it leaves to others
 */
public record PlacementRule(
    double serviceTimeNs,
    long targetDeadlineNs,
    long selectionEndNs,
    long deadlineNs,
    boolean isHedge,
    Waiting waiting) {
  /** A backend server with a free slot and a score up to this is selected at once. */
  private static final double GOOD_SCORE = 1.6;

  /**
   * Factor on the expected duration of a request that has to queue, since the pace of the backend
   * server changes until it starts.
   */
  private static final double QUEUE_UNCERTAINTY = 1.5;

  /** Time that a waiting request keeps for its work, in usual service times. */
  private static final double KEPT_SERVICE_TIMES = 1.5;

  /**
   * Time until the target, in usual service times, from which a request is patient: it can be
   * delayed by its whole work and still be in time. What {@link ServiceTimes} assumes before the
   * first measurement is included: waiting is a smaller mistake than refusing.
   */
  private static final double PATIENT_FROM = 2.5;

  /**
   * Minimum slack of a request that waits, when it arrives. A refused caller returns within less,
   * so that a request with less slack gains little by waiting and delays those that come after it.
   */
  private static final double MIN_SLACK_AT_ARRIVAL_NS = 1e9;

  /**
   * Minimum slack of a request that leaves last slots to others. Within less, a gateway with a
   * fraction of a core looks once or twice and finds the same backend servers busy.
   */
  private static final double MIN_SLACK_NS = 250e6;

  /** Expected outcome of a request on a backend server, best first. */
  public enum Prospect {
    /** The response is expected within the target latency. */
    IN_TIME,
    /** As {@link #IN_TIME}, but the request leaves the slot to more urgent ones for now. */
    SPARED,
    /** The response is expected before the deadline. */
    LATE,
    /** A slot is free, but the response is not expected before the deadline. */
    UNLIKELY,
    /**
     * The backend server has no room: no slot is free, and its queue would make the request late.
     */
    NO_ROOM
  }

  /** What to do next. */
  public enum Step {
    /** Send the request to the best backend server. */
    SELECT,
    /** Probe backend servers of the own zone. */
    PROBE_LOCAL,
    /** Probe backend servers of other zones. */
    PROBE_OTHER_ZONES,
    /** Wait for responses to probes. */
    AWAIT_RESPONSES,
    /** Select again after a pause: the request can still be in time then. */
    WAIT,
    /** Refuse the request: no backend server has room. */
    REFUSE_NO_ROOM,
    /** Refuse the request: no backend server has responded. */
    REFUSE_UNREACHABLE
  }

  /** What a request without room in time does. */
  public enum Waiting {
    /** It is sent or refused at once. */
    NONE,
    /** It waits for room while it can be in time. */
    WHILE_IN_TIME,
    /**
     * As {@link #WHILE_IN_TIME}, and while it is patient it leaves the last free slot of each
     * backend server to requests that are not.
     */
    SPARING_LAST_SLOTS;

    /**
     * Returns what a request does. One that is not patient does not wait: it would only be in time
     * at a backend server with several free slots, and while few have any, each that waits delays
     * those that come after it.
     *
     * @param isPatient whether it could bear a delay when it arrived
     * @param hasMoreUrgent whether its service gets more urgent requests
     */
    public static Waiting of(boolean isPatient, boolean hasMoreUrgent) {
      if (!isPatient) {
        return NONE;
      }
      return hasMoreUrgent ? SPARING_LAST_SLOTS : WHILE_IN_TIME;
    }
  }

  /** A backend server that the request could be sent to. */
  public record Option(LatencyEstimate estimate, boolean isLocal) {}

  /**
   * What has not been tried yet.
   *
   * @param hasLocal whether backend servers of the own zone can be probed
   * @param hasInOtherZones whether backend servers of other zones can be probed
   * @param hasPendingProbes whether responses are missing
   */
  public record Remaining(boolean hasLocal, boolean hasInOtherZones, boolean hasPendingProbes) {}

  /** Returns whether a backend server is so good that no others need to be probed. */
  public boolean isGood(LatencyEstimate estimate, long nowNs) {
    return isFast(estimate) && !spares(estimate, nowNs);
  }

  private static boolean isFast(LatencyEstimate estimate) {
    return estimate.hasFreeSlot() && estimate.score() <= GOOD_SCORE;
  }

  /** Returns what to do, given the best backend server found so far, if any. */
  public Step next(Optional<Option> best, Remaining remaining, long nowNs) {
    if (best.filter(option -> isGoodEnough(option.estimate, nowNs)).isPresent()) {
      return Step.SELECT;
    }
    boolean hasTime = nowNs < (best.isEmpty() ? firstResponseEndNs() : selectionEndNs);
    if (hasTime && remaining.hasLocal) {
      return Step.PROBE_LOCAL;
    }
    if (hasTime && remaining.hasInOtherZones && canBeBetterInOtherZone(best, nowNs)) {
      return Step.PROBE_OTHER_ZONES;
    }
    if (hasTime && remaining.hasPendingProbes && best.isEmpty()) {
      return Step.AWAIT_RESPONSES;
    }
    if (best.isEmpty()) {
      return Step.REFUSE_UNREACHABLE;
    }
    if (isWorthWaiting(best.get().estimate, nowNs)) {
      return Step.WAIT;
    }
    return isWorthSending(best.get().estimate, nowNs) ? Step.SELECT : Step.REFUSE_NO_ROOM;
  }

  /**
   * Returns until when the first response to a probe is awaited. A gateway with a slow processor
   * reads it late, which tells nothing of the backend server: refusing a request that could still
   * be in time costs its caller more than the wait. Nothing is lost by giving up a hedge.
   */
  private long firstResponseEndNs() {
    long latestStartNs = Math.min(targetDeadlineNs, deadlineNs) - (long) serviceTimeNs;
    return isHedge ? selectionEndNs : Math.max(selectionEndNs, latestStartNs);
  }

  /**
   * Returns whether sending the request is better than refusing it. A request that would queue and
   * still be late is refused: in the queue it would make others late too, while its caller can
   * return when there is room. So is one that would be late at a slow server although even a queue
   * elsewhere is shorter: it would hold a slot for several times its usual work.
   */
  private boolean isWorthSending(LatencyEstimate estimate, long nowNs) {
    return isHedge
        ? isFast(estimate)
        : estimate.hasFreeSlot() || prospect(estimate, nowNs) == Prospect.IN_TIME;
  }

  private boolean isWorthWaiting(LatencyEstimate estimate, long nowNs) {
    if (waiting == Waiting.NONE || isHedge || latestStartNs() <= nowNs) {
      return false;
    }
    return prospect(estimate, nowNs) != Prospect.IN_TIME;
  }

  /** Returns whether a request that arrives this time before its target can bear a delay. */
  public static boolean isPatient(double serviceTimeNs, long untilTargetNs) {
    return serviceTimeNs + MIN_SLACK_AT_ARRIVAL_NS <= untilTargetNs
        && hasSlack(serviceTimeNs, untilTargetNs);
  }

  private static boolean hasSlack(double serviceTimeNs, long untilTargetNs) {
    return (long) (PATIENT_FROM * serviceTimeNs) <= untilTargetNs
        && KEPT_SERVICE_TIMES * serviceTimeNs + MIN_SLACK_NS <= untilTargetNs;
  }

  /** Returns the monotonic time until which the request waits. */
  public long latestStartNs() {
    return Math.min(targetDeadlineNs, deadlineNs) - (long) (KEPT_SERVICE_TIMES * serviceTimeNs);
  }

  private boolean isGoodEnough(LatencyEstimate estimate, long nowNs) {
    return estimate.hasFreeSlot()
        && (!isHedge || isFast(estimate))
        && prospect(estimate, nowNs) == Prospect.IN_TIME;
  }

  /**
   * Returns whether the request leaves a place to more urgent ones for now: the last free slot of a
   * backend server, or its queue.
   */
  private boolean spares(LatencyEstimate estimate, long nowNs) {
    return waiting == Waiting.SPARING_LAST_SLOTS
        && (estimate.takesLastSlot() || !estimate.hasFreeSlot())
        && hasSlack(serviceTimeNs, targetDeadlineNs - nowNs);
  }

  /** Returns what is expected of a request that is sent now. */
  public Prospect prospect(LatencyEstimate estimate, long nowNs) {
    boolean hasRoom = estimate.hasFreeSlot() || estimate.canQueue();
    double uncertainty = estimate.hasFreeSlot() ? 1 : QUEUE_UNCERTAINTY;
    if (hasRoom && nowNs + estimate.score() * uncertainty * serviceTimeNs <= targetDeadlineNs) {
      return spares(estimate, nowNs) ? Prospect.SPARED : Prospect.IN_TIME;
    }
    if (hasRoom && nowNs + estimate.total() * serviceTimeNs < deadlineNs) {
      return Prospect.LATE;
    }
    return estimate.hasFreeSlot() ? Prospect.UNLIKELY : Prospect.NO_ROOM;
  }

  /** Returns whether the first backend server is preferred over the second one. */
  public boolean isBetter(Option first, Option second, long nowNs) {
    int firstPreference = preference(prospect(first.estimate, nowNs), first.isLocal);
    int secondPreference = preference(prospect(second.estimate, nowNs), second.isLocal);
    return firstPreference == secondPreference
        ? first.estimate.score() < second.estimate.score()
        : firstPreference < secondPreference;
  }

  /** Returns whether a backend server of another zone could be preferred over the best one. */
  private boolean canBeBetterInOtherZone(Optional<Option> best, long nowNs) {
    return best.isEmpty()
        || preference(prospect(best.get().estimate, nowNs), best.get().isLocal)
            > preference(Prospect.IN_TIME, false);
  }

  /** Preference of a backend server; the lowest value is preferred. */
  private int preference(Prospect prospect, boolean isLocal) {
    return switch (prospect) {
      case IN_TIME -> isLocal ? 0 : isHedge ? 3 : 1;
      case SPARED -> isLocal ? isHedge ? 1 : 2 : isHedge ? 4 : 3;
      case LATE -> isLocal ? isHedge ? 2 : 4 : 5;
      case UNLIKELY -> isLocal ? 6 : 7;
      case NO_ROOM -> isLocal ? 8 : 9;
    };
  }
}
