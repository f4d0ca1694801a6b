package org.cowslipstair.logic.backend;

import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.logic.invariant.Violation;

/**
 * Token bucket for the probes of one backend server. It holds one token, is refilled at half the
 * configured rate and starts empty, so that two concurrent brokers together stay within the budget.
 */
final class ProbeBudget {
  private static final double RATE_SHARE_PER_BROKER = 0.5;
  private static final double NS_PER_SECOND = 1e9;
  private final String subject;
  private final double tokensPerNs;
  private final InvariantMonitor monitor;
  private double tokens;
  private long refilledAtNs;
  private boolean hasProbed;
  private long lastProbeAtNs;

  ProbeBudget(String subject, double probesPerSecond, InvariantMonitor monitor, long nowNs) {
    this.subject = subject;
    this.tokensPerNs = Math.max(0, probesPerSecond) * RATE_SHARE_PER_BROKER / NS_PER_SECOND;
    this.monitor = monitor;
    this.refilledAtNs = nowNs;
  }

  /** Takes a token; returns false if there is none. */
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
    double refilledTokens = (nowNs - lastProbeAtNs) * tokensPerNs;
    if (hasProbed && refilledTokens < 1 - 1e-6) {
      monitor.recordViolation(new Violation(Invariant.PROBE_BUDGET, subject, 2, 1));
    }
    hasProbed = true;
    lastProbeAtNs = nowNs;
  }
}
