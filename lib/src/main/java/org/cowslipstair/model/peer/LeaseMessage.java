package org.cowslipstair.model.peer;

import java.util.List;
import java.util.Set;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.pool.BackendState;
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.model.pool.PoolId;

/** Messages between the broker of a pool and the gateways that send calls to it. */
public sealed interface LeaseMessage extends PeerMessage {
  /** Pool that the message is about. */
  PoolId pool();

  /**
   * Asks for a slot; a repeat with the same number gets the same answer.
   *
   * @param remainingNs time until the deadline of the call
   * @param freeSlotOnly whether to refuse at once instead of waiting
   * @param excluded backend servers that must not be granted
   */
  record Acquire(
      PoolId pool,
      long requestNumber,
      long remainingNs,
      boolean freeSlotOnly,
      Set<BackendName> excluded)
      implements LeaseMessage {
    /** Copies the set. */
    public Acquire {
      excluded = Set.copyOf(excluded);
    }
  }

  /** Gives up an acquire; a grant on its way is to be released unused. */
  record CancelAcquire(PoolId pool, long requestNumber) implements LeaseMessage {}

  /**
   * Grants a slot.
   *
   * @param leaseNumber unique over all brokers of the pool
   * @param validNs time that the lease lasts, counted by the lessee from when it sent the acquire
   */
  record Grant(PoolId pool, long requestNumber, long leaseNumber, BackendName backend, long validNs)
      implements LeaseMessage {}

  /** Refuses an acquire; carries free slots of the same service in other zones. */
  record Refuse(PoolId pool, long requestNumber, RefuseReason reason, List<ZoneFree> elsewhere)
      implements LeaseMessage {
    /** Copies the list. */
    public Refuse {
      elsewhere = List.copyOf(elsewhere);
    }
  }

  /** Free slots of a service in a zone. */
  record ZoneFree(ZoneName zone, int free) {}

  /** Why a broker grants no slot. */
  enum RefuseReason {
    FULL,
    WAIT_TOO_LONG,
    NO_BACKEND,
    NOT_BROKER,
    RECOVERING
  }

  /** Gives a slot back. */
  record Release(PoolId pool, long leaseNumber, BackendName backend, CallReport report)
      implements LeaseMessage {}

  /** Asks for idle leases back. */
  record Recall(PoolId pool, int count) implements LeaseMessage {}

  /** Leases that a gateway holds, sent to a new broker or after a reconnect. */
  record Held(PoolId pool, List<HeldLease> leases) implements LeaseMessage {
    /** Copies the list. */
    public Held {
      leases = List.copyOf(leases);
    }
  }

  /** One held lease. */
  record HeldLease(long leaseNumber, BackendName backend, long remainingNs) {}

  /** Lease table that a stopping broker hands to its successor. */
  record HandOver(PoolId pool, List<HandedLease> leases, List<HandedBackend> backends)
      implements LeaseMessage {
    /** Copies the lists. */
    public HandOver {
      leases = List.copyOf(leases);
      backends = List.copyOf(backends);
    }
  }

  /** One lease in a hand-over. */
  record HandedLease(GatewayId holder, long leaseNumber, BackendName backend, long remainingNs) {}

  /** State of one backend server in a hand-over. */
  record HandedBackend(BackendName backend, BackendState state, int limit) {}
}
