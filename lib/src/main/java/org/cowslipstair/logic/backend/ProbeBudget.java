package org.cowslipstair.logic.backend;

import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.logic.invariant.Violation;

/**
 * Token bucket of the probes of one backend server. It holds one token, is refilled at half the
 * configured rate and starts empty, so that two brokers at once keep the whole budget.
 */
final class ProbeBudget {
  private static final double SHARE_OF_ONE_BROKER = 0.5;
  private static final double NS_PER_SECOND = 1e9;
  private final String subject;
  private final double tokensPerNs;
  private final InvariantMonitor monitor;
  private double tokens;
  private long refilledAtNs;
  private boolean probedBefore;
  private long lastProbeNs;

  ProbeBudget(String subject, double probesPerSecond, InvariantMonitor monitor, long nowNs) {
    this.subject = subject;
    this.tokensPerNs = Math.max(0, probesPerSecond) * SHARE_OF_ONE_BROKER / NS_PER_SECOND;
    this.monitor = monitor;
    this.refilledAtNs = nowNs;
  }

  /** Takes a token if there is one. */
  boolean tryTake(long nowNs) {
    tokens = Math.min(1, tokens + (nowNs - refilledAtNs) * tokensPerNs);
    refilledAtNs = nowNs;
    if (tokens < 1) {
      return false;
    }
    tokens = 0;
    checkSpacing(nowNs);
    return true;
  }

  /** Empties the bucket, as at the start of a term. */
  void empty(long nowNs) {
    tokens = 0;
    refilledAtNs = nowNs;
  }

  private void checkSpacing(long nowNs) {
    double earned = (nowNs - lastProbeNs) * tokensPerNs;
    if (probedBefore && earned < 1 - 1e-6) {
      monitor.violated(new Violation(Invariant.PROBE_BUDGET, subject, 2, 1));
    }
    probedBefore = true;
    lastProbeNs = nowNs;
  }
}
