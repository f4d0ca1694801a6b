package org.cowslipstair.logic.quarantine;

import java.util.List;

/** Message between two gateways about requests that are suspected to crash backend servers. */
public sealed interface QuarantineMessage {
  /** What the sender knows of some requests. */
  record Suspects(List<SuspectRequest> suspects) implements QuarantineMessage {
    /** Copies the list. */
    public Suspects {
      suspects = List.copyOf(suspects);
    }
  }

  /**
   * Asks for all that the receiver knows, unless it is the same as what the sender knows.
   *
   * @param digest hash of what the sender knows
   */
  record Compare(long digest) implements QuarantineMessage {}

  /** Response to a comparison: the receiver knows the same. */
  record Same() implements QuarantineMessage {}
}
