package org.cowslipstair.logic.policy;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import org.cowslipstair.model.config.BackendServer;

/** How a policy without a broker picks one of several backend servers. */
public sealed interface BackendChoice {
  /** Every backend server with the same probability. */
  record Random() implements BackendChoice {}

  /** One after the other. */
  record RoundRobin(AtomicInteger next) implements BackendChoice {}

  /**
   * The one with the fewest calls of this gateway, out of some drawn at random.
   *
   * @param choices number of backend servers drawn
   */
  record LeastInFlight(int choices) implements BackendChoice {}

  /** The best by recent probe results, out of some drawn at random when results are missing. */
  record Probed(ProbePool pool) implements BackendChoice {}

  /**
   * Picks a backend server.
   *
   * @param candidates at least one
   */
  default BackendServer pick(
      List<BackendServer> candidates, InFlightCounts counts, RandomGenerator random, long nowNs) {
    return switch (this) {
      case Random _ -> draw(candidates, random);
      case RoundRobin(AtomicInteger next) ->
          candidates.get(Math.floorMod(next.getAndIncrement(), candidates.size()));
      case LeastInFlight(int choices) -> leastOf(choices, candidates, counts, random);
      case Probed(ProbePool pool) ->
          pool.best(candidates, nowNs).orElseGet(() -> leastOf(2, candidates, counts, random));
    };
  }

  private static BackendServer draw(List<BackendServer> candidates, RandomGenerator random) {
    return candidates.get(random.nextInt(candidates.size()));
  }

  private static BackendServer leastOf(
      int choices, List<BackendServer> candidates, InFlightCounts counts, RandomGenerator random) {
    BackendServer best = draw(candidates, random);
    for (int i = 1; i < choices; i++) {
      BackendServer other = draw(candidates, random);
      if (counts.count(other.name()) < counts.count(best.name())) {
        best = other;
      }
    }
    return best;
  }
}
