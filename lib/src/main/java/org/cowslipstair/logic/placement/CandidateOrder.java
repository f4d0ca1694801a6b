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
 * own zone, selected by hash, then the rest of its zone, then those of other zones. Within each
 * group the order is random but favors backend servers with an idle connection, since opening a
 * connection costs time and a slot at the backend server. The others still come first at times, so
 * that a backend server that has just joined gets requests.
 */
public final class CandidateOrder {
  /** Backend servers of its own zone that a gateway probes before the others of the zone. */
  private static final int SUBSET_SIZE = 6;

  /** Added to the random sort key, between 0 and 1, if a connection would have to be opened. */
  private static final double UNCONNECTED_PENALTY = 0.5;

  private final String gateway;
  private final ZoneName localZone;
  private final RandomGenerator random;

  /**
   * Backend servers in the order in which to probe them.
   *
   * @param local backend servers of the gateway's zone
   * @param others backend servers of other zones
   */
  public record Candidates(List<BackendStats> local, List<BackendStats> others) {
    /** Copies the lists. */
    public Candidates {
      local = List.copyOf(local);
      others = List.copyOf(others);
    }
  }

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
   * excluded or unreachable. Those that do not respond to a probe are left out unless there are no
   * others.
   *
   * @param excluded backend servers that must not be chosen
   * @param hasIdleConnection whether there is an idle connection to a backend server
   */
  public Candidates order(
      List<BackendStats> candidates,
      Set<BackendName> excluded,
      Predicate<BackendStats> hasIdleConnection,
      long nowNs) {
    List<BackendStats> reachable =
        candidates.stream()
            .filter(stats -> !excluded.contains(stats.instance().name()))
            .filter(stats -> !stats.isBackingOff(nowNs))
            .toList();
    List<BackendStats> responsive =
        reachable.stream().filter(stats -> !stats.isUnresponsive(nowNs)).toList();
    List<Candidate> local = new ArrayList<>();
    List<Candidate> others = new ArrayList<>();
    for (BackendStats stats : responsive.isEmpty() ? reachable : responsive) {
      boolean isLocal = stats.instance().zone().equals(localZone);
      Candidate candidate =
          new Candidate(stats, hash(stats), sortKey(hasIdleConnection.test(stats)));
      (isLocal ? local : others).add(candidate);
    }
    local.sort(Comparator.comparingInt(Candidate::hash));
    int subsetSize = Math.min(SUBSET_SIZE, local.size());
    List<BackendStats> orderedLocal = new ArrayList<>();
    addShuffled(local.subList(0, subsetSize), orderedLocal);
    addShuffled(local.subList(subsetSize, local.size()), orderedLocal);
    List<BackendStats> orderedOthers = new ArrayList<>();
    addShuffled(others, orderedOthers);
    return new Candidates(orderedLocal, orderedOthers);
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
