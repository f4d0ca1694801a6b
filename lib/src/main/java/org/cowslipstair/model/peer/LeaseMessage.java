package org.cowslipstair.model.peer;

import java.util.List;
import java.util.Set;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.pool.BackendState;
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.model.pool.PoolId;

/**
 * Messages between the broker of a pool and the gateways that send calls to it.
 *
 * <p>A lease is identified by its holder and the number of the request that it was granted for. A
 * gateway process never reuses a request number for the same pool.
 */
public sealed interface LeaseMessage extends PeerMessage {
  /** Returns the pool that the message refers to. */
  PoolId pool();

  /**
   * Requests a slot. A repeated message with the same number gets the same reply.
   *
   * @param remainingNs time until the deadline of the call
   * @param excluded backend servers that must not be granted
   */
  record Acquire(
      PoolId pool,
      long requestNumber,
      long remainingNs,
      FullPoolPolicy whenFull,
      Set<BackendName> excluded)
      implements LeaseMessage {
    /** Copies the set. */
    public Acquire {
      excluded = Set.copyOf(excluded);
    }
  }

  /** How a broker handles an acquire if no slot is free. */
  enum FullPoolPolicy {
    /** Refuse immediately. */
    REFUSE,
    /** Queue the acquire until a slot is free or the deadline has passed. */
    WAIT
  }

  /** Cancels an acquire. If a grant is already on its way, the lease is released unused. */
  record CancelAcquire(PoolId pool, long requestNumber) implements LeaseMessage {}

  /**
   * Grants a slot.
   *
   * @param validNs duration of the lease, measured by the lessee from the time it sent the acquire
   * @param warm whether the backend server can use all of its slots
   * @param free number of free slots in the pool after this grant
   */
  record Grant(
      PoolId pool, long requestNumber, BackendName backend, long validNs, boolean warm, int free)
      implements LeaseMessage {}

  /** Refuses an acquire; lists the free slots of the same service in other zones. */
  record Refuse(
      PoolId pool,
      long requestNumber,
      RefuseReason reason,
      List<ZoneFreeSlots> freeSlotsInOtherZones)
      implements LeaseMessage {
    /** Copies the list. */
    public Refuse {
      freeSlotsInOtherZones = List.copyOf(freeSlotsInOtherZones);
    }
  }

  /** Number of free slots of a service in a zone. */
  record ZoneFreeSlots(ZoneName zone, int free) {}

  /** Why a broker refuses an acquire. */
  enum RefuseReason {
    FULL,
    WAIT_TOO_LONG,
    NO_BACKEND,
    NOT_BROKER,
    RECOVERING
  }

  /** Reports that a call ended and that its lease is reused for the next call of the gateway. */
  record Reuse(PoolId pool, long requestNumber, CallReport report) implements LeaseMessage {}

  /** Releases a slot. A repeated message has no effect. */
  record Release(PoolId pool, long requestNumber, CallReport report) implements LeaseMessage {}

  /** Requests the release of a number of idle leases. */
  record Recall(PoolId pool, int count) implements LeaseMessage {}

  /**
   * Forbids new calls under the leases of a backend server, because its limit fell below the number
   * of granted leases. Calls already sent are not affected.
   */
  record Withdraw(PoolId pool, BackendName backend) implements LeaseMessage {}

  /** Requests {@link HeldLeases} from a gateway; sent by a broker at the start of its term. */
  record HeldLeasesRequest(PoolId pool) implements LeaseMessage {}

  /**
   * Reports that the sender considers the receiver to be the broker, and lists the leases that it
   * holds. Sent to a new broker and after a reconnect, before any acquire.
   *
   * @param nextRequestNumber the sender ignores all grants with a lower request number except the
   *     listed ones; increases with each message
   */
  record HeldLeases(PoolId pool, long nextRequestNumber, List<HeldLease> leases)
      implements LeaseMessage {
    /** Copies the list. */
    public HeldLeases {
      leases = List.copyOf(leases);
    }
  }

  /**
   * A lease held by the sender.
   *
   * @param leaseEnded whether the lease has ended; the backend server may still be executing its
   *     call
   */
  record HeldLease(long requestNumber, BackendName backend, long remainingNs, boolean leaseEnded) {}

  /**
   * Lease table that a broker sends to its successor.
   *
   * @param sequence increases with each hand-over by the same process
   * @param complete whether the sender had a record of every lease of the pool
   */
  record HandOver(
      PoolId pool,
      long sequence,
      boolean complete,
      List<HandOverLease> leases,
      List<HandOverBackend> backends)
      implements LeaseMessage {
    /** Copies the lists. */
    public HandOver {
      leases = List.copyOf(leases);
      backends = List.copyOf(backends);
    }
  }

  /**
   * A lease in a hand-over.
   *
   * @param remainingNs maximum time until the slot is free
   * @param leaseEnded whether the lease has ended and only its slot is still occupied
   */
  record HandOverLease(
      GatewayId holder,
      long requestNumber,
      BackendName backend,
      long remainingNs,
      boolean leaseEnded) {}

  /**
   * State of a backend server in a hand-over. Times in the state are based on the sender's
   * monotonic clock, so the receiver cannot use them.
   */
  record HandOverBackend(BackendName backend, BackendState state, int limit) {}
}
