package org.cowslipstair.logic.placement;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.ZoneName;

/**
 * In which order the backend servers of a service are asked for their load: those of the own zone
 * first, each zone's in random order. Within a zone a gateway keeps to a subset that it draws by
 * hash, as every pair of a gateway and a backend server costs connections.
 */
public final class CandidateOrder {
  /** Backend servers of one zone that a gateway asks before it turns to others. */
  private static final int SUBSET_SIZE = 6;

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
   */
  public List<BackendRecord> order(
      List<BackendRecord> records, Set<BackendName> excluded, long nowNs) {
    List<Ranked> ranked = new ArrayList<>();
    int local = 0;
    for (BackendRecord record : records) {
      if (excluded.contains(record.instance().name()) || record.isPaused(nowNs)) {
        continue;
      }
      boolean isLocal = record.instance().zone().equals(zone);
      local += isLocal ? 1 : 0;
      ranked.add(new Ranked(record, isLocal, hash(record), random.nextInt()));
    }
    ranked.sort(Comparator.comparing(Ranked::hash));
    List<Ranked> near = new ArrayList<>();
    List<Ranked> far = new ArrayList<>();
    for (Ranked candidate : ranked) {
      boolean inSubset = candidate.local && near.size() < SUBSET_SIZE;
      (inSubset ? near : far).add(candidate);
    }
    near.sort(Comparator.comparing(Ranked::draw));
    if (local == 0) {
      far.sort(Comparator.comparing(Ranked::hash));
    }
    List<BackendRecord> ordered = new ArrayList<>();
    near.forEach(candidate -> ordered.add(candidate.record));
    far.forEach(candidate -> ordered.add(candidate.record));
    return ordered;
  }

  private int hash(BackendRecord record) {
    String key = self + "/" + record.instance().name().value();
    return Hashing.murmur3_32_fixed().hashString(key, StandardCharsets.UTF_8).asInt();
  }

  private record Ranked(BackendRecord record, boolean local, int hash, int draw) {}
}
