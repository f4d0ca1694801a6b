package org.cowslipstair.logic.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.random.RandomGenerator;

/**
 * Permits of one tenant at one issuer: a token bucket that fills and holds as much as the shares
 * allow that the issuer has been lent, and the times of what it has issued in the last window. Not
 * thread-safe.
 */
final class QuotaBucket {
  private static final double NS_PER_SECOND = 1e9;

  private final Deque<Long> issuedNs = new ArrayDeque<>();
  private double tokens;
  private double capacity;
  private double earnedShareNs;
  private double advancedShare;
  private QuotaBounds bounds;

  QuotaBucket(QuotaBounds bounds) {
    this.bounds = bounds;
  }

  /** Adds what has been earned since the last call and forgets what has left the window. */
  void refill(QuotaBounds newBounds, LentShares shares, double advanceSize, long nowNs) {
    bounds = newBounds;
    double earned = shares.earnedShareNs(nowNs) - earnedShareNs;
    double advanced = shares.advancedShare() - advancedShare;
    earnedShareNs += earned;
    advancedShare += advanced;
    double rate = bounds.permitsPerSecond();
    tokens += rate * earned / NS_PER_SECOND + advanceSize * advanced;
    capacity = Math.max(bounds.depth(), bounds.advance()) * shares.attachedShare(nowNs);
    tokens = Math.min(tokens, capacity);
    while (!issuedNs.isEmpty() && nowNs - issuedNs.getFirst() > bounds.windowNs()) {
      issuedNs.removeFirst();
    }
  }

  /**
   * Issues a permit if there is one. A bucket that holds less than one permit issues one with the
   * probability of what it holds, else many small parts of a fleet would issue nothing.
   */
  boolean tryTake(RandomGenerator random, long nowNs) {
    if (issuedInWindow() >= bounds.maxInWindow()) {
      return false;
    }
    if (capacity < 1 && tokens > 0 && random.nextDouble() >= tokens) {
      tokens = 0;
      return false;
    }
    if (tokens < 1 && (capacity >= 1 || tokens <= 0)) {
      return false;
    }
    tokens--;
    issuedNs.addLast(nowNs);
    return true;
  }

  /** Takes back a permit whose request has not run. */
  void giveBack() {
    if (issuedNs.pollLast() != null) {
      tokens++;
    }
  }

  /** Returns the time until a permit is available if a share of the fleet fills the bucket. */
  long availableInNs(double lentShare, long nowNs) {
    if (issuedInWindow() >= bounds.maxInWindow() && !issuedNs.isEmpty()) {
      return issuedNs.getFirst() + bounds.windowNs() - nowNs;
    }
    double rate = bounds.permitsPerSecond() * lentShare;
    return rate <= 0
        ? bounds.windowNs()
        : (long) Math.min(bounds.windowNs(), Math.max(0, 1 - tokens) / rate * NS_PER_SECOND);
  }

  QuotaBounds bounds() {
    return bounds;
  }

  int issuedInWindow() {
    return issuedNs.size();
  }

  double tokens() {
    return tokens;
  }

  /** Returns the time of the last permit in the window, or the given time if there is none. */
  long lastIssuedNs(long nowNs) {
    return issuedNs.isEmpty() ? nowNs : issuedNs.getLast();
  }
}
