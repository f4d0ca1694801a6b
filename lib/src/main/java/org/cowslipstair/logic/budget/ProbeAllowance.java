package org.cowslipstair.logic.budget;

import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.logic.invariant.InvariantMonitor;

/**
 * Token bucket over the probes that this gateway sends to all backend servers together.
 *
 * <p>The fleet's budget is a rate for each backend server over a day; a gateway uses its part of
 * half of it. It begins with a stock, as a gateway that has just started knows no load and gets the
 * requests that waited for it; a process that lives longer than the stock lasts stays within the
 * rate.
 */
public final class ProbeAllowance {
  private static final double USED_PART = 0.5;
  private static final double NS_PER_SECOND = 1e9;
  private static final double BURST_SECONDS = 5;

  /** Seconds of its part below which probes are scarce. */
  private static final double SCARCE_SECONDS = 0.5;

  /** Seconds of its part with which a gateway begins. */
  private static final double START_SECONDS = 2;

  private final double perBackendPerSecond;
  private final InvariantMonitor monitor;
  private final long createdAtNs;
  private double maxPerSecond;
  private double perSecond;
  private double tokens;
  private long filledAtNs;
  private long taken;
  private long refused;
  private boolean begun;

  /**
   * Creates a budget.
   *
   * @param perBackendPerSecond probes that one backend server may get a second from all gateways
   */
  public ProbeAllowance(double perBackendPerSecond, InvariantMonitor monitor, long nowNs) {
    this.perBackendPerSecond = perBackendPerSecond;
    this.monitor = monitor;
    this.createdAtNs = nowNs;
    this.filledAtNs = nowNs;
  }

  /** Sets this gateway's part. */
  public void share(int backends, int gateways) {
    perSecond = perBackendPerSecond * USED_PART * backends / Math.max(1, gateways);
    maxPerSecond = Math.max(maxPerSecond, perSecond);
  }

  /** Takes a token if there is one. */
  public boolean tryTake(long nowNs) {
    fill(nowNs);
    if (tokens < 1) {
      refused++;
      return false;
    }
    tokens -= 1;
    taken++;
    double seconds = START_SECONDS + (nowNs - createdAtNs) / NS_PER_SECOND;
    monitor.checkAtMost(
        Invariant.PROBE_BUDGET, "all", taken, (long) Math.ceil(seconds * maxPerSecond));
    return true;
  }

  private void fill(long nowNs) {
    if (!begun) {
      begun = true;
      tokens = START_SECONDS * perSecond;
    }
    double capacity = perSecond * BURST_SECONDS;
    tokens = Math.min(capacity, tokens + (nowNs - filledAtNs) / NS_PER_SECOND * perSecond);
    filledAtNs = nowNs;
  }

  /** Returns whether less is left than flows in over a short time. */
  public boolean isScarce(long nowNs) {
    fill(nowNs);
    return tokens < SCARCE_SECONDS * perSecond;
  }

  /** Returns the tokens taken. */
  public long taken() {
    return taken;
  }

  /** Returns how often there was no token. */
  public long refused() {
    return refused;
  }
}
