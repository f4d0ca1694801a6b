package org.cowslipstair.logic.broker;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.fleet.GatewayId;

/**
 * Progress of collecting the leases that the predecessor granted. Until it is complete, a grant
 * never raises the leases of a backend server above the number that was reported.
 */
final class TermRecovery {
  private final Set<GatewayId> awaitedPeers = new LinkedHashSet<>();
  private final Map<BackendName, Integer> reportedLeases = new HashMap<>();
  private long graceEndsAtNs;
  private long lastLeaseExpiresAtNs;
  private long nextRequestAtNs;
  private boolean complete;

  /**
   * Starts a recovery.
   *
   * @param graceEndsAtNs time at which all calls of dead gateways have ended
   * @param lastLeaseExpiresAtNs time at which every unreported lease has expired
   */
  void start(Set<GatewayId> peers, long graceEndsAtNs, long lastLeaseExpiresAtNs) {
    awaitedPeers.clear();
    awaitedPeers.addAll(peers);
    reportedLeases.clear();
    this.graceEndsAtNs = graceEndsAtNs;
    this.lastLeaseExpiresAtNs = lastLeaseExpiresAtNs;
    nextRequestAtNs = Long.MIN_VALUE;
    complete = false;
  }

  boolean isComplete() {
    return complete;
  }

  /** Completes the recovery because the lease table is complete. */
  void finish() {
    complete = true;
    awaitedPeers.clear();
  }

  /** Completes the recovery if it is due; returns whether this call completed it. */
  boolean finishIfDue(long nowNs) {
    if (complete) {
      return false;
    }
    boolean hasAllReports = awaitedPeers.isEmpty() && nowNs >= graceEndsAtNs;
    if (!hasAllReports && nowNs < lastLeaseExpiresAtNs) {
      return false;
    }
    finish();
    return true;
  }

  void reportReceived(GatewayId peer) {
    awaitedPeers.remove(peer);
  }

  /** Adds a peer that joined during the recovery to those whose report is awaited. */
  void addPeer(GatewayId peer) {
    if (!complete) {
      awaitedPeers.add(peer);
    }
  }

  /** Stops waiting for a dead peer, and extends the grace period so that its calls can end. */
  void removePeer(GatewayId peer, long graceEndsAtNs) {
    if (!complete) {
      awaitedPeers.remove(peer);
      this.graceEndsAtNs = Math.max(this.graceEndsAtNs, graceEndsAtNs);
    }
  }

  /** Records the number of recovered leases of a backend server, unless it is lower than before. */
  void recordReportedLeases(BackendName backend, int leases) {
    reportedLeases.merge(backend, leases, Math::max);
  }

  /** Returns the maximum number of leases of a backend server; unbounded once complete. */
  int maxLeases(BackendName backend) {
    return complete ? Integer.MAX_VALUE : reportedLeases.getOrDefault(backend, 0);
  }

  /** Returns the peers to request held leases from now. */
  List<GatewayId> peersToRequest(long nowNs, long retryNs) {
    if (complete || awaitedPeers.isEmpty() || nowNs < nextRequestAtNs) {
      return List.of();
    }
    nextRequestAtNs = nowNs + retryNs;
    return List.copyOf(awaitedPeers);
  }

  int awaitedCount() {
    return awaitedPeers.size();
  }
}
