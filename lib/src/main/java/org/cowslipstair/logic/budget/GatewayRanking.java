package org.cowslipstair.logic.budget;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Ranks the gateways of a fleet for each subject by rendezvous hashing. A subject is what one
 * gateway does for the fleet, such as issuing the permits of a backend server. All gateways that
 * know the same fleet get the same ranking. Not thread-safe.
 */
public final class GatewayRanking {
  private static final HashFunction HASH = Hashing.murmur3_128();

  /** Number of remembered rankings at which all are forgotten; subjects come and go. */
  private static final int MAX_RANKINGS = 256;

  private final Map<String, List<String>> rankings = new HashMap<>();
  private Collection<String> rankedGateways = List.of();

  private record Weighted(String gateway, long weight) {}

  /**
   * Returns the gateways in the order of their rank for a subject, first rank first. The ranking is
   * remembered, since it takes a hash for each gateway of the fleet.
   *
   * @param gateways names of all known gateways; must be immutable
   */
  public List<String> ranked(String subject, Collection<String> gateways) {
    if (gateways != rankedGateways || rankings.size() > MAX_RANKINGS) {
      rankedGateways = gateways;
      rankings.clear();
    }
    return rankings.computeIfAbsent(subject, name -> rank(name, gateways));
  }

  private static List<String> rank(String subject, Collection<String> gateways) {
    return gateways.stream()
        .distinct()
        .map(gateway -> new Weighted(gateway, weight(subject, gateway)))
        .sorted(
            Comparator.comparingLong(Weighted::weight).reversed().thenComparing(Weighted::gateway))
        .map(Weighted::gateway)
        .toList();
  }

  static long weight(String subject, String gateway) {
    return HASH.hashString(subject + "/" + gateway, StandardCharsets.UTF_8).asLong();
  }
}
