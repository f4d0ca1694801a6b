package org.cowslipstair.model.rollout;

/**
 * Recorded status of a rollout.
 *
 * @param target version that the status is about; an order for another version makes it obsolete
 */
public record RolloutStatus(State state, ServiceVersion target) {
  /** State of a rollout, as operators see it. */
  public enum State {
    /** The new version gets a share of the requests, or the rest of them. */
    RUNNING,
    /** Only the new version gets requests; the servers of the old one may stop at any moment. */
    DONE,
    /** Only the old version gets requests. */
    ROLLED_BACK;

    /** Returns whether the state never changes again. */
    public boolean isFinal() {
      return this != RUNNING;
    }
  }
}
