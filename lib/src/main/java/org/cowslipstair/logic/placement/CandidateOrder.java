package org.cowslipstair.logic.placement;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
 * that a backend server that has just joined gets requests. Not thread-safe.
 */
public final class CandidateOrder {
  /** Backend servers of its own zone that a gateway probes before the others of the zone. */
  private static final int SUBSET_SIZE = 6;

  /** Added to the random sort key, between 0 and 1, if a connection would have to be opened. */
  private static final double UNCONNECTED_PENALTY = 0.5;

  /** Number of remembered hashes at which all are forgotten; backend servers come and go. */
  private static final int MAX_HASHES = 4_096;

  private final String gateway;
  private final ZoneName localZone;
  private final RandomGenerator random;
  private final Map<BackendName, Integer> hashes = new HashMap<>();

  /** A backend server that can be probed. */
  public interface Candidate {
    /** Returns its statistics. */
    BackendStats stats();

    /** Returns whether there is an idle connection to it. */
    boolean hasIdleConnection();
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

  /** Returns whether a backend server is in the zone of the gateway. */
  public boolean isLocal(Candidate candidate) {
    return candidate.stats().instance().zone().equals(localZone);
  }

  /**
   * Returns the backend servers of the gateway's zone in the order in which to probe them, without
   * those that are excluded or unreachable or do not respond to a probe.
   *
   * @param excluded backend servers that must not be chosen
   */
  public <T extends Candidate> List<T> local(
      List<T> candidates, Set<BackendName> excluded, long nowNs) {
    List<T> local =
        reachable(candidates, excluded, nowNs, c -> isLocal(c) && !c.stats().isUnresponsive(nowNs));
    if (local.size() > SUBSET_SIZE) {
      local.sort(Comparator.comparingInt(candidate -> hash(candidate.stats())));
    }
    int subsetSize = Math.min(SUBSET_SIZE, local.size());
    List<T> ordered = new ArrayList<>(local.size());
    addShuffled(local.subList(0, subsetSize), ordered);
    addShuffled(local.subList(subsetSize, local.size()), ordered);
    return ordered;
  }

  /**
   * Returns the backend servers that come after the local ones: those of other zones, then those of
   * any zone that do not respond to a probe.
   *
   * @param excluded backend servers that must not be chosen
   */
  public <T extends Candidate> List<T> others(
      List<T> candidates, Set<BackendName> excluded, long nowNs) {
    List<T> ordered = new ArrayList<>(candidates.size());
    addShuffled(
        reachable(
            candidates, excluded, nowNs, c -> !isLocal(c) && !c.stats().isUnresponsive(nowNs)),
        ordered);
    addShuffled(
        reachable(candidates, excluded, nowNs, c -> c.stats().isUnresponsive(nowNs)), ordered);
    return ordered;
  }

  private static <T extends Candidate> List<T> reachable(
      List<T> candidates, Set<BackendName> excluded, long nowNs, Predicate<T> filter) {
    List<T> reachable = new ArrayList<>();
    for (T candidate : candidates) {
      BackendStats stats = candidate.stats();
      if (!excluded.contains(stats.instance().name())
          && !stats.isBackingOff(nowNs)
          && filter.test(candidate)) {
        reachable.add(candidate);
      }
    }
    return reachable;
  }

  private <T extends Candidate> void addShuffled(List<T> source, List<T> target) {
    List<Keyed<T>> keyed = new ArrayList<>(source.size());
    for (T candidate : source) {
      double penalty = candidate.hasIdleConnection() ? 0 : UNCONNECTED_PENALTY;
      keyed.add(new Keyed<>(candidate, random.nextDouble() + penalty));
    }
    keyed.sort(Comparator.comparingDouble(Keyed::sortKey));
    for (Keyed<T> entry : keyed) {
      target.add(entry.candidate);
    }
  }

  /** The hash is remembered, since computing it for every request costs more than all else here. */
  private int hash(BackendStats stats) {
    if (hashes.size() > MAX_HASHES) {
      hashes.clear();
    }
    return hashes.computeIfAbsent(
        stats.instance().name(),
        name ->
            Hashing.murmur3_32_fixed()
                .hashString(gateway + "/" + name.value(), StandardCharsets.UTF_8)
                .asInt());
  }

  private record Keyed<T>(T candidate, double sortKey) {}
}
