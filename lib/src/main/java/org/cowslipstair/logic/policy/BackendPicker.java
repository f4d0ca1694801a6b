package org.cowslipstair.logic.policy;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import org.cowslipstair.model.config.BackendServer;

/** Strategy by which a policy without a broker picks a backend server. */
public sealed interface BackendPicker {
  /** Picks each candidate with the same probability. */
  record Random() implements BackendPicker {}

  /** Picks the candidates in turn. */
  record RoundRobin(AtomicInteger next) implements BackendPicker {}

  /**
   * Picks the one with the fewest calls of this gateway in progress, of several sampled at random.
   *
   * @param choices number of backend servers sampled
   */
  record LeastInFlight(int choices) implements BackendPicker {}

  /** Picks the best by recent probe results; without any, the less busy of two random ones. */
  record Probed(ProbeResults pool) implements BackendPicker {}

  /**
   * Picks a backend server.
   *
   * @param candidates backend servers to pick from; not empty
   */
  default BackendServer pick(
      List<BackendServer> candidates, InFlightCounts counts, RandomGenerator random, long nowNs) {
    return switch (this) {
      case Random _ -> pickRandom(candidates, random);
      case RoundRobin(AtomicInteger next) ->
          candidates.get(Math.floorMod(next.getAndIncrement(), candidates.size()));
      case LeastInFlight(int choices) -> pickLeastInFlight(choices, candidates, counts, random);
      case Probed(ProbeResults pool) ->
          pool.pickBest(candidates, nowNs)
              .orElseGet(() -> pickLeastInFlight(2, candidates, counts, random));
    };
  }

  private static BackendServer pickRandom(List<BackendServer> candidates, RandomGenerator random) {
    return candidates.get(random.nextInt(candidates.size()));
  }

  private static BackendServer pickLeastInFlight(
      int choices, List<BackendServer> candidates, InFlightCounts counts, RandomGenerator random) {
    BackendServer best = pickRandom(candidates, random);
    for (int i = 1; i < choices; i++) {
      BackendServer other = pickRandom(candidates, random);
      if (counts.count(other.name()) < counts.count(best.name())) {
        best = other;
      }
    }
    return best;
  }
}
