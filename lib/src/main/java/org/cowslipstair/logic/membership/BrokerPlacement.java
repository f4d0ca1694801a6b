package org.cowslipstair.logic.membership;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.model.pool.PoolId;

/** Assigns broker roles and fallback slots to gateways by rendezvous hashing. */
public final class BrokerPlacement {
  private static final HashFunction HASH_FUNCTION = Hashing.murmur3_128();

  private BrokerPlacement() {}

  /**
   * Returns the broker of a pool: a live member in the zone of the pool or, if there is none, in
   * any zone; empty if no member is live.
   */
  public static Optional<Member> brokerOf(PoolId pool, FleetView view) {
    List<Member> live = view.liveMembers();
    Optional<Member> local = highestScoring(pool.toString(), live, Optional.of(pool.zone()));
    return local.isPresent() ? local : highestScoring(pool.toString(), live, Optional.empty());
  }

  /**
   * Returns the only member that may use a slot of a backend server while the pool has no broker;
   * empty if no member is live.
   */
  public static Optional<Member> fallbackSlotOwner(BackendName backend, int slot, FleetView view) {
    return highestScoring(backend + "/" + slot, view.liveMembers(), Optional.empty());
  }

  private static Optional<Member> highestScoring(
      String key, List<Member> members, Optional<ZoneName> zone) {
    Optional<Member> best = Optional.empty();
    long bestScore = Long.MIN_VALUE;
    for (Member member : members) {
      if (zone.isPresent() && !zone.get().equals(member.zone())) {
        continue;
      }
      long score = score(key, member);
      if (best.isEmpty() || score > bestScore) {
        best = Optional.of(member);
        bestScore = score;
      }
    }
    return best;
  }

  private static long score(String key, Member member) {
    return HASH_FUNCTION
        .newHasher()
        .putString(key, StandardCharsets.UTF_8)
        .putByte((byte) 0)
        .putString(member.id().name().value(), StandardCharsets.UTF_8)
        .hash()
        .asLong();
  }
}
