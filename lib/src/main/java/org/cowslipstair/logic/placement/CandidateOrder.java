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
 * In which order the backend servers of a service are asked for their load: a subset of those in
 * the own zone, drawn by hash, then the others. Within each, the order is random but favours those
 * with an idle connection, as opening one costs time and a slot at the backend server; the others
 * still come first at times, so that one that has just joined gets its part.
 */
public final class CandidateOrder {
  /** Backend servers of one zone that a gateway asks before it turns to others. */
  private static final int SUBSET_SIZE = 6;

  /** Added to a draw between 0 and 1 where a connection would have to be opened. */
  private static final double UNCONNECTED_HANDICAP = 0.5;

  private final String self;
  private final ZoneName zone;
  private final RandomGenerator random;

  /** Creates an order for one gateway. */
  public CandidateOrder(String self, ZoneName zone, RandomGenerator random) {
    this.self = self;
    this.zone = zone;
    this.random = random;
  }

  /**
   * Orders backend servers.
   *
   * @param excluded backend servers that must not be chosen
   * @param connected whether there is an idle connection to a backend server
   */
  public List<BackendRecord> order(
      List<BackendRecord> records,
      Set<BackendName> excluded,
      Predicate<BackendRecord> connected,
      long nowNs) {
    List<Ranked> local = new ArrayList<>();
    List<Ranked> far = new ArrayList<>();
    for (BackendRecord record : records) {
      if (excluded.contains(record.instance().name()) || record.isPaused(nowNs)) {
        continue;
      }
      boolean isLocal = record.instance().zone().equals(zone);
      Ranked ranked = new Ranked(record, hash(record), draw(connected.test(record)));
      (isLocal ? local : far).add(ranked);
    }
    local.sort(Comparator.comparingInt(Ranked::hash));
    int near = Math.min(SUBSET_SIZE, local.size());
    far.addAll(local.subList(near, local.size()));
    List<BackendRecord> ordered = new ArrayList<>();
    addShuffled(local.subList(0, near), ordered);
    addShuffled(far, ordered);
    return ordered;
  }

  private static void addShuffled(List<Ranked> from, List<BackendRecord> to) {
    from.stream()
        .sorted(Comparator.comparingDouble(Ranked::draw))
        .forEach(ranked -> to.add(ranked.record));
  }

  private double draw(boolean isConnected) {
    return random.nextDouble() + (isConnected ? 0 : UNCONNECTED_HANDICAP);
  }

  private int hash(BackendRecord record) {
    String key = self + "/" + record.instance().name().value();
    return Hashing.murmur3_32_fixed().hashString(key, StandardCharsets.UTF_8).asInt();
  }

  private record Ranked(BackendRecord record, int hash, double draw) {}
}
