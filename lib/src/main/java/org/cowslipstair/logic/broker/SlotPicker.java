package org.cowslipstair.logic.broker;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cowslipstair.logic.backend.PoolBackendTracker;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.pool.BackendState;

/**
 * Chooses the backend server of a grant: the one with the most free slots. At intervals, one that
 * is not warm is preferred, so that its state can change although others have more free slots.
 */
final class SlotPicker {
  private static final int GRANTS_PER_TRIAL = 16;
  private final PoolBackendTracker backends;
  private final LeaseTable table;
  private final TermRecovery recovery;
  private final ColdBackendOwnership coldOwners;
  private final RandomGenerator random;
  private List<BackendName> members = List.of();
  private int grantsSinceTrial;

  SlotPicker(
      PoolBackendTracker backends,
      LeaseTable table,
      TermRecovery recovery,
      ColdBackendOwnership coldOwners,
      RandomGenerator random) {
    this.coldOwners = coldOwners;
    this.backends = backends;
    this.table = table;
    this.recovery = recovery;
    this.random = random;
  }

  void configure(Set<BackendName> acceptingNewCalls) {
    members = acceptingNewCalls.stream().sorted().toList();
  }

  List<BackendName> members() {
    return members;
  }

  /** Returns how many more leases of a backend server can be granted now. */
  int freeSlots(BackendName backend) {
    boolean isWarm = backends.state(backend) instanceof BackendState.Warm;
    if (!isWarm && !coldOwners.isOwnedByThisSide(backend)) {
      return 0;
    }
    int maxLeases = Math.min(backends.limit(backend), recovery.maxLeases(backend));
    return Math.max(0, maxLeases - table.busySlots(backend));
  }

  /** Returns how many more leases the pool can grant now. */
  int freeSlots() {
    int free = 0;
    for (BackendName member : members) {
      free += freeSlots(member);
    }
    return free;
  }

  /** Returns the sum of the limits of all members. */
  int totalLimit() {
    int totalLimit = 0;
    for (BackendName member : members) {
      totalLimit += backends.limit(member);
    }
    return totalLimit;
  }

  /** Chooses a backend server with a free slot; empty if there is none. */
  Optional<BackendName> pick(Set<BackendName> excluded) {
    if (members.isEmpty()) {
      return Optional.empty();
    }
    Optional<BackendName> trial = Optional.empty();
    if (grantsSinceTrial >= GRANTS_PER_TRIAL) {
      trial = pickMostFree(excluded, true);
      grantsSinceTrial = 0;
    }
    Optional<BackendName> picked = trial.isPresent() ? trial : pickMostFree(excluded, false);
    if (picked.isPresent()) {
      grantsSinceTrial++;
    }
    return picked;
  }

  private Optional<BackendName> pickMostFree(Set<BackendName> excluded, boolean skipWarm) {
    int mostFree = 0;
    List<BackendName> best = new ArrayList<>();
    for (BackendName member : members) {
      boolean isSkipped = skipWarm && backends.state(member) instanceof BackendState.Warm;
      int free = isSkipped || excluded.contains(member) ? 0 : freeSlots(member);
      if (free == 0 || free < mostFree) {
        continue;
      }
      if (free > mostFree) {
        best.clear();
        mostFree = free;
      }
      best.add(member);
    }
    return best.isEmpty() ? Optional.empty() : Optional.of(best.get(random.nextInt(best.size())));
  }
}
