package org.cowslipstair.logic.budget;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.model.config.BackendName;

/**
 * Limits the requests that this gateway sends to cold backend servers. Rendezvous hashing assigns a
 * few owner gateways to each cold backend server; each owner keeps a minimum interval between its
 * sends. The owners together use half of the backend server's cold capacity, so that the limit
 * holds even while the gateways have two entirely different views of the fleet.
 */
public final class ColdSendLimiter {
  private static final long NS_PER_SECOND = 1_000_000_000L;

  /** Maximum sends of one owner in any one second. */
  private static final int MAX_OWNER_SENDS_PER_SECOND = 2;

  /**
   * Minimum interval between sends of one owner; slightly over half a second, so that at most two
   * fit into any one second.
   */
  private static final long MIN_SEND_INTERVAL_NS =
      NS_PER_SECOND / MAX_OWNER_SENDS_PER_SECOND + 100_000_000L;

  /** Number of tracked backend servers at which entries with an elapsed interval are removed. */
  private static final int PRUNING_THRESHOLD = 64;

  /** Number of remembered ranks at which all are forgotten; backend servers come and go. */
  private static final int MAX_RANKS = 1_024;

  private final String self;
  private final InvariantMonitor monitor;
  private final Map<BackendName, Long> lastSentAtNs = new HashMap<>();
  private final Map<BackendName, Integer> ranks = new HashMap<>();
  private Collection<String> rankedGateways = List.of();
  private long sentCount;

  /**
   * Creates a limiter.
   *
   * @param self name of this gateway
   */
  public ColdSendLimiter(String self, InvariantMonitor monitor) {
    this.self = self;
    this.monitor = monitor;
  }

  /**
   * Returns whether this gateway may send a request to a cold backend server now.
   *
   * @param requestsPerSecond requests that the cold backend server can handle in any one second
   * @param gateways names of all known gateways, including this one; empty if unknown, then nothing
   *     may be sent; must be immutable
   */
  public boolean maySend(
      BackendName backend, double requestsPerSecond, Collection<String> gateways, long nowNs) {
    int owners = (int) (requestsPerSecond / (2 * MAX_OWNER_SENDS_PER_SECOND));
    if (owners < 1 || gateways.isEmpty()) {
      return false;
    }
    Long lastSentNs = lastSentAtNs.get(backend);
    if (lastSentNs != null && nowNs - lastSentNs < MIN_SEND_INTERVAL_NS) {
      return false;
    }
    return rankOfSelf(backend, gateways) < owners;
  }

  /** Returns the number of requests sent to cold backend servers. */
  public long sentCount() {
    return sentCount;
  }

  /** Records a request sent to a cold backend server. */
  public void recordSend(BackendName backend, long nowNs) {
    sentCount++;
    if (lastSentAtNs.size() >= PRUNING_THRESHOLD) {
      lastSentAtNs.values().removeIf(atNs -> nowNs - atNs >= MIN_SEND_INTERVAL_NS);
    }
    Long previousNs = lastSentAtNs.put(backend, nowNs);
    if (previousNs != null) {
      monitor.checkAtMost(
          Invariant.COLD_LIMIT,
          backend.value(),
          MIN_SEND_INTERVAL_NS,
          Math.max(nowNs - previousNs, 0));
    }
  }

  /** The rank is remembered, since it takes a hash for each gateway of the fleet. */
  private int rankOfSelf(BackendName backend, Collection<String> gateways) {
    if (gateways != rankedGateways || ranks.size() > MAX_RANKS) {
      rankedGateways = gateways;
      ranks.clear();
    }
    return ranks.computeIfAbsent(backend, name -> computeRankOfSelf(name, gateways));
  }

  private int computeRankOfSelf(BackendName backend, Collection<String> gateways) {
    long ownWeight = GatewayRanking.weight(backend.value(), self);
    int rank = 0;
    for (String gateway : gateways) {
      if (!gateway.equals(self) && GatewayRanking.weight(backend.value(), gateway) > ownWeight) {
        rank++;
      }
    }
    return rank;
  }
}
