package org.cowslipstair.logic.ratelimit;

import java.util.HashMap;
import java.util.Map;
import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.traffic.RateLimit;

/**
 * Issues permits for single requests to backend servers that advertise a rate limit, on behalf of
 * the whole fleet. Spaces them by the generic cell rate algorithm. Not thread-safe.
 *
 * <p>While gateways disagree on who issues the permits of a backend server, a primary and a
 * stand-in can issue at the same time. The stand-in therefore uses a share that fits into one and a
 * half times the limit together with the primary.
 */
public final class PermitIssuer {
  /** Maximum number of permits issued in addition to the rate in any time span. */
  public static final int MAX_BURST = 3;

  private static final double NS_PER_SECOND = 1e9;
  private static final double STAND_IN_SHARE = 0.45;
  private static final int PRIMARY_BURST = 2;
  private static final int STAND_IN_BURST = 1;

  /**
   * Minimum rate, so that a limit of 0 is still noticed when the backend server withdraws it: only
   * the response to a request tells.
   */
  private static final double MIN_REQUESTS_PER_SECOND = 0.1;

  /** Number of schedules at which those without recent permits are removed. */
  private static final int PRUNING_THRESHOLD = 64;

  private final InvariantMonitor monitor;
  private final Map<BackendName, Long> scheduledNs = new HashMap<>();
  private long issuedCount;

  /** Capacity in which a gateway issues the permits of a backend server. */
  public enum Role {
    PRIMARY,
    STAND_IN
  }

  /** Result of a request for a permit. */
  public sealed interface Decision {
    /** One request may be sent now. */
    record Granted() implements Decision {}

    /**
     * No permit is available.
     *
     * @param availableInNs time until the next permit is available
     */
    record Denied(long availableInNs) implements Decision {}
  }

  /** Creates an issuer that has issued nothing. */
  public PermitIssuer(InvariantMonitor monitor) {
    this.monitor = monitor;
  }

  /**
   * Issues a permit if the limit allows it now.
   *
   * @param requests number of requests that the permit is for, probes included; 1 or 2
   */
  public Decision tryIssue(
      BackendName backend, RateLimit limit, Role role, int requests, long nowNs) {
    double share = role == Role.PRIMARY ? 1 : STAND_IN_SHARE;
    int burst = role == Role.PRIMARY ? PRIMARY_BURST : STAND_IN_BURST;
    double rate = Math.max(MIN_REQUESTS_PER_SECOND, limit.requestsPerSecond()) * share;
    long intervalNs = (long) Math.ceil(NS_PER_SECOND / rate);
    long toleranceNs = (burst - 1) * intervalNs;
    long dueNs = scheduledNs.getOrDefault(backend, nowNs);
    long availableInNs = dueNs - toleranceNs - nowNs;
    if (availableInNs > 0) {
      return new Decision.Denied(availableInNs);
    }
    long nextDueNs = Math.max(dueNs, nowNs) + requests * intervalNs;
    monitor.checkAtMost(
        Invariant.RATE_LIMIT, backend.value(), nextDueNs - nowNs, MAX_BURST * intervalNs);
    prune(nowNs);
    scheduledNs.put(backend, nextDueNs);
    issuedCount++;
    return new Decision.Granted();
  }

  private void prune(long nowNs) {
    if (scheduledNs.size() >= PRUNING_THRESHOLD) {
      scheduledNs.values().removeIf(dueNs -> dueNs <= nowNs);
    }
  }

  /** Returns the number of permits issued. */
  public long issuedCount() {
    return issuedCount;
  }
}
