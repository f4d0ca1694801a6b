package org.cowslipstair.logic.budget;

import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.logic.invariant.InvariantMonitor;

/**
 * Token bucket for the probes that this gateway sends to all backend servers together.
 *
 * <p>The fleet's budget is a rate per backend server over a day; each gateway uses its share of
 * half of it. The bucket starts with a stock of tokens, because a gateway that has just started
 * knows no load yet and receives the requests that were waiting for it. A process that runs longer
 * than the stock lasts stays within the rate.
 */
public final class ProbeRateLimiter {
  private static final double USED_FRACTION = 0.5;
  private static final double NS_PER_SECOND = 1e9;
  private static final double BURST_SECONDS = 5;

  /** Tokens, in seconds of refill, below which probes are scarce. */
  private static final double SCARCE_SECONDS = 0.5;

  /** Initial tokens, in seconds of refill. */
  private static final double START_SECONDS = 2;

  private final double probesPerBackendPerSecond;
  private final InvariantMonitor monitor;
  private final long createdAtNs;
  private double maxTokensPerSecond;
  private double tokensPerSecond;
  private double tokens;
  private long refilledAtNs;
  private long acquiredCount;
  private long refusedCount;
  private boolean initiallyFilled;

  /**
   * Creates a budget without a share.
   *
   * @param probesPerBackendPerSecond probes per second that one backend server may receive from all
   *     gateways
   */
  public ProbeRateLimiter(double probesPerBackendPerSecond, InvariantMonitor monitor, long nowNs) {
    this.probesPerBackendPerSecond = probesPerBackendPerSecond;
    this.monitor = monitor;
    this.createdAtNs = nowNs;
    this.refilledAtNs = nowNs;
  }

  /** Sets this gateway's share from the number of backend servers and of gateways. */
  public void setShare(int backends, int gateways) {
    tokensPerSecond = probesPerBackendPerSecond * USED_FRACTION * backends / Math.max(1, gateways);
    maxTokensPerSecond = Math.max(maxTokensPerSecond, tokensPerSecond);
  }

  /** Acquires a token if one is available. */
  public boolean tryAcquire(long nowNs) {
    refill(nowNs);
    if (tokens < 1) {
      refusedCount++;
      return false;
    }
    tokens -= 1;
    acquiredCount++;
    double seconds = START_SECONDS + (nowNs - createdAtNs) / NS_PER_SECOND;
    monitor.checkAtMost(
        Invariant.PROBE_BUDGET,
        "all",
        acquiredCount,
        (long) Math.ceil(seconds * maxTokensPerSecond));
    return true;
  }

  private void refill(long nowNs) {
    if (!initiallyFilled) {
      initiallyFilled = true;
      tokens = START_SECONDS * tokensPerSecond;
    }
    double capacity = tokensPerSecond * BURST_SECONDS;
    tokens = Math.min(capacity, tokens + (nowNs - refilledAtNs) / NS_PER_SECOND * tokensPerSecond);
    refilledAtNs = nowNs;
  }

  /** Returns whether fewer tokens are left than are refilled in a short time. */
  public boolean isScarce(long nowNs) {
    refill(nowNs);
    return tokens < SCARCE_SECONDS * tokensPerSecond;
  }

  /** Returns the number of tokens acquired. */
  public long acquiredCount() {
    return acquiredCount;
  }

  /** Returns how often no token was available. */
  public long refusedCount() {
    return refusedCount;
  }
}
