package org.cowslipstair.experiments.plan;

import java.util.Optional;
import org.cowslipstair.model.config.PolicyKind;

/** A way to carry calls whose figures are compared with those of others. */
public sealed interface Variant {
  /** Parses a name such as {@code broker+hedge} or {@code event-loop}. */
  static Optional<Variant> parse(String text) {
    return text.equals(EventLoop.NAME) ? Optional.of(new EventLoop()) : Policy.parsePolicy(text);
  }

  /** A policy of the daemon, with or without hedging. */
  record Policy(PolicyKind policy, boolean hedging) implements Variant {
    private static final String HEDGED = "+hedge";

    private static Optional<Variant> parsePolicy(String text) {
      boolean hedging = text.endsWith(HEDGED);
      String policy = hedging ? text.substring(0, text.length() - HEDGED.length()) : text;
      return PolicyKind.fromWireName(policy).map(kind -> new Policy(kind, hedging));
    }

    @Override
    public String toString() {
      return hedging ? policy.wireName() + HEDGED : policy.wireName();
    }
  }

  /** Gateways on event loops, which probe for each call and hedge. */
  record EventLoop() implements Variant {
    private static final String NAME = "event-loop";

    @Override
    public String toString() {
      return NAME;
    }
  }
}
