package org.cowslipstair.logic.rollout;

/** What the decider of a rollout tells the gateways to do. */
public sealed interface Directive {
  /** A share of the sends goes to the new version; holds only for a short time. */
  record Share(double share) implements Directive {
    /** Validates the share. */
    public Share {
      if (!(share >= 0 && share <= 1)) {
        throw new IllegalArgumentException("share of a version is " + share);
      }
    }
  }

  /** Every send goes to the new version; holds only for a short time. */
  record OnlyTarget() implements Directive {}

  /** No send goes to the new version any more; holds until there is another order. */
  record OnlyOthers() implements Directive {}
}
