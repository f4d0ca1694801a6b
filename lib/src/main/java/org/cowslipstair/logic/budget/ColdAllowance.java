package org.cowslipstair.logic.budget;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.model.config.BackendName;

/**
 * Which cold backend servers this gateway may send to, and when. Rendezvous hashing gives each cold
 * backend server a few owners among the gateways; each owner keeps a distance between its sends.
 * The owners together use half of what the backend server bears, so that two views of the fleet
 * that differ altogether still keep the bound.
 */
public final class ColdAllowance {
  private static final HashFunction HASH = Hashing.murmur3_128();
  private static final long NS_PER_SECOND = 1_000_000_000L;

  /** Most sends of one owner that any one second can hold. */
  private static final int SENDS_PER_SECOND = 2;

  /** Distance between sends of one owner; a little over half a second, so two fit a second. */
  private static final long DISTANCE_NS = NS_PER_SECOND / SENDS_PER_SECOND + 100_000_000L;

  /** Backend servers remembered before those are forgotten that were sent to long ago. */
  private static final int REMEMBERED = 64;

  private final String self;
  private final InvariantMonitor monitor;
  private final Map<BackendName, Long> sentAtNs = new HashMap<>();
  private long sent;

  /**
   * Creates an allowance.
   *
   * @param self name of this gateway
   */
  public ColdAllowance(String self, InvariantMonitor monitor) {
    this.self = self;
    this.monitor = monitor;
  }

  /**
   * Returns whether a request may be sent to a cold backend server now.
   *
   * @param requestsPerSecond requests that the backend server bears in any one second
   * @param gateways names of all known gateways, this one included; empty if they are not known
   */
  public boolean maySend(
      BackendName backend, double requestsPerSecond, Collection<String> gateways, long nowNs) {
    int owners = (int) (requestsPerSecond / (2 * SENDS_PER_SECOND));
    if (owners < 1 || gateways.isEmpty()) {
      return false;
    }
    Long last = sentAtNs.get(backend);
    if (last != null && nowNs - last < DISTANCE_NS) {
      return false;
    }
    return rankOfSelf(backend, gateways) < owners;
  }

  /** Returns the requests sent to cold backend servers. */
  public long sent() {
    return sent;
  }

  /** Counts a request that was sent to a cold backend server. */
  public void sent(BackendName backend, long nowNs) {
    sent++;
    if (sentAtNs.size() >= REMEMBERED) {
      sentAtNs.values().removeIf(atNs -> nowNs - atNs >= DISTANCE_NS);
    }
    Long before = sentAtNs.put(backend, nowNs);
    if (before != null) {
      monitor.checkAtMost(
          Invariant.COLD_LIMIT, backend.value(), DISTANCE_NS, Math.max(nowNs - before, 0));
    }
  }

  private int rankOfSelf(BackendName backend, Collection<String> gateways) {
    long own = weight(backend, self);
    int rank = 0;
    for (String gateway : gateways) {
      if (!gateway.equals(self) && weight(backend, gateway) > own) {
        rank++;
      }
    }
    return rank;
  }

  private static long weight(BackendName backend, String gateway) {
    return HASH.hashString(backend.value() + "/" + gateway, StandardCharsets.UTF_8).asLong();
  }
}
