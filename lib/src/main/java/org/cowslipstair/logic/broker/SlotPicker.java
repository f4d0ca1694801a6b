package org.cowslipstair.logic.broker;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cowslipstair.logic.backend.PoolBackends;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.pool.BackendState;

/**
 * Chooses the backend server of a grant: the one with most free slots. Now and then one that is not
 * warm gets a call although others have more free slots, so that its state can change.
 */
final class SlotPicker {
  private static final int GRANTS_PER_TRIAL = 16;
  private final PoolBackends backends;
  private final LeaseTable table;
  private final TermRecovery recovery;
  private final ColdSlotOwners coldOwners;
  private final RandomGenerator random;
  private List<BackendName> members = List.of();
  private int grantsSinceTrial;

  SlotPicker(
      PoolBackends backends,
      LeaseTable table,
      TermRecovery recovery,
      ColdSlotOwners coldOwners,
      RandomGenerator random) {
    this.coldOwners = coldOwners;
    this.backends = backends;
    this.table = table;
    this.recovery = recovery;
    this.random = random;
  }

  void configure(Set<BackendName> takingNewCalls) {
    members = takingNewCalls.stream().sorted().toList();
  }

  List<BackendName> members() {
    return members;
  }

  /** Returns how many more leases a backend server may get now. */
  int free(BackendName backend) {
    boolean warm = backends.state(backend) instanceof BackendState.Warm;
    if (!warm && !coldOwners.isOnThisSide(backend)) {
      return 0;
    }
    int bound = Math.min(backends.limit(backend), recovery.bound(backend));
    return Math.max(0, bound - table.out(backend));
  }

  /** Returns how many more leases the pool may give now. */
  int free() {
    int free = 0;
    for (BackendName member : members) {
      free += free(member);
    }
    return free;
  }

  /** Returns the sum of the limits. */
  int capacity() {
    int capacity = 0;
    for (BackendName member : members) {
      capacity += backends.limit(member);
    }
    return capacity;
  }

  /** Chooses a backend server with a free slot. */
  Optional<BackendName> pick(Set<BackendName> excluded) {
    if (members.isEmpty()) {
      return Optional.empty();
    }
    Optional<BackendName> trial = Optional.empty();
    if (grantsSinceTrial >= GRANTS_PER_TRIAL) {
      trial = mostFree(excluded, true);
      grantsSinceTrial = 0;
    }
    Optional<BackendName> picked = trial.isPresent() ? trial : mostFree(excluded, false);
    if (picked.isPresent()) {
      grantsSinceTrial++;
    }
    return picked;
  }

  private Optional<BackendName> mostFree(Set<BackendName> excluded, boolean onlyNotWarm) {
    int mostFree = 0;
    List<BackendName> best = new ArrayList<>();
    for (BackendName member : members) {
      boolean skip = onlyNotWarm && backends.state(member) instanceof BackendState.Warm;
      int free = skip || excluded.contains(member) ? 0 : free(member);
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
