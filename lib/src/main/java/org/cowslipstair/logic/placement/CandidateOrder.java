package org.cowslipstair.logic.placement;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.ZoneName;

/**
 * Order in which a gateway probes the backend servers of a service: first a subset of those in its
 * own zone, selected by hash, then the others. Within each group the order is random but favors
 * backend servers with an idle connection, since opening a connection costs time and a slot at the
 * backend server. The others still come first at times, so that a backend server that has just
 * joined gets requests.
 */
public final class CandidateOrder {
  /** Backend servers of its own zone that a gateway probes before it turns to others. */
  private static final int SUBSET_SIZE = 6;

  /** Added to the random sort key, between 0 and 1, if a connection would have to be opened. */
  private static final double UNCONNECTED_PENALTY = 0.5;

  private final String gateway;
  private final ZoneName localZone;
  private final RandomGenerator random;

  /**
   * Creates the order of one gateway.
   *
   * @param gateway name of the gateway
   * @param localZone zone of the gateway
   */
  public CandidateOrder(String gateway, ZoneName localZone, RandomGenerator random) {
    this.gateway = gateway;
    this.localZone = localZone;
    this.random = random;
  }

  /**
   * Returns the backend servers in the order in which to probe them, without those that are
   * excluded or unreachable.
   *
   * @param excluded backend servers that must not be chosen
   * @param hasIdleConnection whether there is an idle connection to a backend server
   */
  public List<BackendStats> order(
      List<BackendStats> candidates,
      Set<BackendName> excluded,
      Predicate<BackendStats> hasIdleConnection,
      long nowNs) {
    List<Candidate> local = new ArrayList<>();
    List<Candidate> others = new ArrayList<>();
    for (BackendStats stats : candidates) {
      if (excluded.contains(stats.instance().name()) || stats.isBackingOff(nowNs)) {
        continue;
      }
      boolean isLocal = stats.instance().zone().equals(localZone);
      Candidate candidate =
          new Candidate(stats, hash(stats), sortKey(hasIdleConnection.test(stats)));
      (isLocal ? local : others).add(candidate);
    }
    local.sort(Comparator.comparingInt(Candidate::hash));
    int subsetSize = Math.min(SUBSET_SIZE, local.size());
    others.addAll(local.subList(subsetSize, local.size()));
    List<BackendStats> ordered = new ArrayList<>();
    addShuffled(local.subList(0, subsetSize), ordered);
    addShuffled(others, ordered);
    return ordered;
  }

  private static void addShuffled(List<Candidate> source, List<BackendStats> target) {
    source.stream()
        .sorted(Comparator.comparingDouble(Candidate::sortKey))
        .forEach(candidate -> target.add(candidate.stats));
  }

  private double sortKey(boolean isConnected) {
    return random.nextDouble() + (isConnected ? 0 : UNCONNECTED_PENALTY);
  }

  private int hash(BackendStats stats) {
    String key = gateway + "/" + stats.instance().name().value();
    return Hashing.murmur3_32_fixed().hashString(key, StandardCharsets.UTF_8).asInt();
  }

  private record Candidate(BackendStats stats, int hash, double sortKey) {}
}
