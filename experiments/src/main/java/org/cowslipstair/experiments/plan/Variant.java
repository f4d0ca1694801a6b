package org.cowslipstair.experiments.plan;

import java.util.Optional;
import org.cowslipstair.model.config.PolicyKind;

/** A policy, with or without hedging, whose figures are compared with those of others. */
public record Variant(PolicyKind policy, boolean hedging) {
  private static final String HEDGED = "+hedge";

  /** Parses a name such as {@code broker+hedge}. */
  public static Optional<Variant> parse(String text) {
    boolean hedging = text.endsWith(HEDGED);
    String policy = hedging ? text.substring(0, text.length() - HEDGED.length()) : text;
    return PolicyKind.fromWireName(policy).map(kind -> new Variant(kind, hedging));
  }

  @Override
  public String toString() {
    return hedging ? policy.wireName() + HEDGED : policy.wireName();
  }
}
