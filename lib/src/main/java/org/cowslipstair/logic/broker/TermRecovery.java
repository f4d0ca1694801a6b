package org.cowslipstair.logic.broker;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.fleet.GatewayId;

/**
 * What a broker does not know yet about the leases of its predecessor. Until it is complete, a
 * grant never takes the leases of a backend server above the number that was reported.
 */
final class TermRecovery {
  private final Set<GatewayId> awaited = new LinkedHashSet<>();
  private final Map<BackendName, Integer> reported = new HashMap<>();
  private long graceEndsAtNs;
  private long lastLeaseEndsAtNs;
  private long nextRequestAtNs;
  private boolean complete;

  /**
   * Starts a recovery.
   *
   * @param graceEndsAtNs time at which calls of gateways that died are over
   * @param lastLeaseEndsAtNs time at which every lease that nobody reports has expired
   */
  void start(Set<GatewayId> peers, long graceEndsAtNs, long lastLeaseEndsAtNs) {
    awaited.clear();
    awaited.addAll(peers);
    reported.clear();
    this.graceEndsAtNs = graceEndsAtNs;
    this.lastLeaseEndsAtNs = lastLeaseEndsAtNs;
    nextRequestAtNs = Long.MIN_VALUE;
    complete = false;
  }

  boolean isComplete() {
    return complete;
  }

  /** Ends the recovery because the whole table is known. */
  void finish() {
    complete = true;
    awaited.clear();
  }

  /** Returns whether the recovery ended just now. */
  boolean finishIfDue(long nowNs) {
    if (complete) {
      return false;
    }
    boolean allReported = awaited.isEmpty() && nowNs >= graceEndsAtNs;
    if (!allReported && nowNs < lastLeaseEndsAtNs) {
      return false;
    }
    finish();
    return true;
  }

  void heldBy(GatewayId peer) {
    awaited.remove(peer);
  }

  /** Waits for a peer that appeared during the recovery. */
  void appeared(GatewayId peer) {
    if (!complete) {
      awaited.add(peer);
    }
  }

  /** Stops waiting for a peer that died, but leaves its calls the time to end. */
  void died(GatewayId peer, long graceEndsAtNs) {
    if (!complete) {
      awaited.remove(peer);
      this.graceEndsAtNs = Math.max(this.graceEndsAtNs, graceEndsAtNs);
    }
  }

  /** Takes note that a number of leases of a backend server is known to be out. */
  void reported(BackendName backend, int out) {
    reported.merge(backend, out, Math::max);
  }

  /** Returns the most leases that may be out for a backend server. */
  int bound(BackendName backend) {
    return complete ? Integer.MAX_VALUE : reported.getOrDefault(backend, 0);
  }

  /** Returns the peers to ask for their leases now. */
  List<GatewayId> toAsk(long nowNs, long retryNs) {
    if (complete || awaited.isEmpty() || nowNs < nextRequestAtNs) {
      return List.of();
    }
    nextRequestAtNs = nowNs + retryNs;
    return List.copyOf(awaited);
  }

  int awaitedCount() {
    return awaited.size();
  }
}
