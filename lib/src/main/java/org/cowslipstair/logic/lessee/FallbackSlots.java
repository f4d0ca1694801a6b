package org.cowslipstair.logic.lessee;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cowslipstair.logic.membership.BrokerPlacement;
import org.cowslipstair.logic.membership.FleetView;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.model.pool.CallEnd;

/**
 * Slots that this gateway may use while a pool has no reachable broker. Each slot of a backend
 * server belongs to one live gateway. Only backend servers known to be warm give any.
 */
final class FallbackSlots {
  private final long warmNewsNs;
  private final Map<BackendName, Long> warmAtNs = new HashMap<>();
  private final Map<BackendName, Integer> owned = new HashMap<>();
  private long ownedInView = -1;

  FallbackSlots(long warmNewsNs) {
    this.warmNewsNs = warmNewsNs;
  }

  /** Takes news from a broker. */
  void news(BackendName backend, boolean warm, long nowNs) {
    if (warm) {
      warmAtNs.put(backend, nowNs);
    } else {
      warmAtNs.remove(backend);
    }
  }

  /** Forgets which slots are owned, as after a change of the configuration. */
  void forgetOwned() {
    owned.clear();
  }

  /** Takes the result of an own call; a bad one ends what was known. */
  void ended(BackendName backend, CallEnd end) {
    if (end == CallEnd.SHED || end == CallEnd.FAILED || end == CallEnd.TIMED_OUT) {
      warmAtNs.remove(backend);
    }
  }

  /** Chooses a backend server of which this gateway owns a slot that none of its leases uses. */
  Optional<BackendName> pick(
      Iterable<BackendServer> members,
      Set<BackendName> excluded,
      Map<BackendName, Integer> heldByBackend,
      FleetView view,
      long nowNs) {
    if (view.number() != ownedInView) {
      owned.clear();
      ownedInView = view.number();
    }
    for (BackendServer member : members) {
      BackendName name = member.name();
      if (excluded.contains(name) || !isWarm(name, nowNs)) {
        continue;
      }
      if (owned(member, view) > heldByBackend.getOrDefault(name, 0)) {
        return Optional.of(name);
      }
    }
    return Optional.empty();
  }

  private boolean isWarm(BackendName backend, long nowNs) {
    Long atNs = warmAtNs.get(backend);
    return atNs != null && nowNs - atNs <= warmNewsNs;
  }

  private int owned(BackendServer backend, FleetView view) {
    return owned.computeIfAbsent(backend.name(), _ -> countOwned(backend, view));
  }

  private static int countOwned(BackendServer backend, FleetView view) {
    int count = 0;
    for (int slot = 0; slot < backend.slots(); slot++) {
      Optional<Member> owner = BrokerPlacement.fallbackOwner(backend.name(), slot, view);
      if (owner.isPresent() && owner.get().id().equals(view.self())) {
        count++;
      }
    }
    return count;
  }
}
