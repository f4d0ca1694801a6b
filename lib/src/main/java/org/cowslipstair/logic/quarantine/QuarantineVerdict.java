package org.cowslipstair.logic.quarantine;

import java.util.OptionalLong;

/** Whether a request may be sent to a backend server. */
public sealed interface QuarantineVerdict {
  /** Nothing is known against it. */
  record Unsuspected() implements QuarantineVerdict {}

  /**
   * Backend servers have crashed while they ran it, but others may be to blame.
   *
   * @param crashes number of these backend servers
   */
  record Suspected(int crashes) implements QuarantineVerdict {}

  /**
   * It must not be sent.
   *
   * @param trialInNs time until it is tried again; empty if it is not
   */
  record HeldBack(OptionalLong trialInNs) implements QuarantineVerdict {}
}
