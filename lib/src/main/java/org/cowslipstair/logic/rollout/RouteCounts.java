package org.cowslipstair.logic.rollout;

/** Outcomes of the sends of one route: those to the new version and those to the others. */
public record RouteCounts(OutcomeCounts target, OutcomeCounts others) {
  private static final RouteCounts NONE =
      new RouteCounts(OutcomeCounts.none(), OutcomeCounts.none());

  /** Returns the counts before the first send. */
  public static RouteCounts none() {
    return NONE;
  }

  /** Returns the sum of both. */
  public RouteCounts plus(RouteCounts other) {
    return new RouteCounts(target.plus(other.target), others.plus(other.others));
  }

  /** Returns what was counted after the other counts. */
  public RouteCounts since(RouteCounts other) {
    return new RouteCounts(target.since(other.target), others.since(other.others));
  }

  /** Returns the number of sends to all versions. */
  public long sent() {
    return target.sent() + others.sent();
  }
}
