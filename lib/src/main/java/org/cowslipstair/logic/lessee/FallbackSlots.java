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
import org.cowslipstair.model.pool.CallOutcome;

/**
 * Slots that this gateway may use while a pool has no reachable broker. Each slot of a backend
 * server is owned by one live gateway. Only slots of recently warm backend servers are used.
 */
final class FallbackSlots {
  private final long warmValidityNs;
  private final Map<BackendName, Long> lastWarmAtNs = new HashMap<>();
  private final Map<BackendName, Integer> ownedSlots = new HashMap<>();
  private long ownedSlotsViewNumber = -1;

  FallbackSlots(long warmValidityNs) {
    this.warmValidityNs = warmValidityNs;
  }

  /** Records whether a broker reported a backend server as warm. */
  void recordWarmth(BackendName backend, boolean warm, long nowNs) {
    if (warm) {
      lastWarmAtNs.put(backend, nowNs);
    } else {
      lastWarmAtNs.remove(backend);
    }
  }

  /** Discards the cached numbers of owned slots, for a new configuration. */
  void clearOwnedSlots() {
    ownedSlots.clear();
  }

  /** Records the result of a call of this gateway; a shed or failed one ends the warm state. */
  void recordResult(BackendName backend, CallOutcome end) {
    if (end == CallOutcome.SHED || end == CallOutcome.FAILED || end == CallOutcome.TIMED_OUT) {
      lastWarmAtNs.remove(backend);
    }
  }

  /** Chooses a backend server with an owned slot that no lease uses; empty if there is none. */
  Optional<BackendName> pick(
      Iterable<BackendServer> members,
      Set<BackendName> excluded,
      Map<BackendName, Integer> heldSlots,
      FleetView view,
      long nowNs) {
    if (view.number() != ownedSlotsViewNumber) {
      ownedSlots.clear();
      ownedSlotsViewNumber = view.number();
    }
    for (BackendServer member : members) {
      BackendName name = member.name();
      if (excluded.contains(name) || !isWarm(name, nowNs)) {
        continue;
      }
      if (ownedSlots(member, view) > heldSlots.getOrDefault(name, 0)) {
        return Optional.of(name);
      }
    }
    return Optional.empty();
  }

  private boolean isWarm(BackendName backend, long nowNs) {
    Long warmAtNs = lastWarmAtNs.get(backend);
    return warmAtNs != null && nowNs - warmAtNs <= warmValidityNs;
  }

  private int ownedSlots(BackendServer backend, FleetView view) {
    return ownedSlots.computeIfAbsent(backend.name(), _ -> countOwnedSlots(backend, view));
  }

  private static int countOwnedSlots(BackendServer backend, FleetView view) {
    int count = 0;
    for (int slot = 0; slot < backend.slots(); slot++) {
      Optional<Member> owner = BrokerPlacement.fallbackSlotOwner(backend.name(), slot, view);
      if (owner.isPresent() && owner.get().id().equals(view.self())) {
        count++;
      }
    }
    return count;
  }
}
