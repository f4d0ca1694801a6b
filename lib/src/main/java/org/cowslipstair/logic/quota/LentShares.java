package org.cowslipstair.logic.quota;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Shares that an issuer has been lent. Each gateway of the fleet has an equal share of every quota.
 * The sums over time let a bucket that is used again after a while get what it has earned. Not
 * thread-safe.
 */
final class LentShares {
  private final Map<String, Loan> loans = new HashMap<>();
  private final Map<String, Long> releasedNs = new HashMap<>();
  private Collection<String> fleet = List.of();
  private Set<String> known = Set.of();
  private long countedNs;
  private double earnedShareNs;
  private double advancedShare;

  private static final class Loan {
    long lentUntilNs;
    long attachedUntilNs;

    Loan(long nowNs) {
      lentUntilNs = nowNs;
      attachedUntilNs = nowNs;
    }
  }

  LentShares(long nowNs) {
    this.countedNs = nowNs;
  }

  /** Sets the known gateways; must be immutable. */
  void setFleet(Collection<String> gateways, long nowNs) {
    if (gateways == fleet) {
      return;
    }
    count(nowNs);
    fleet = gateways;
    known = new HashSet<>(gateways);
    loans.keySet().retainAll(known);
    releasedNs.keySet().retainAll(known);
  }

  /**
   * Records a loan. That of a gateway outside the fleet does not count, nor one that was offered
   * before the end of the last one and arrives after it.
   */
  void lend(String gateway, long stampNs, long untilNs, long nowNs) {
    count(nowNs);
    boolean isLate = stampNs - releasedNs.getOrDefault(gateway, stampNs) < 0;
    if (known.contains(gateway) && !isLate) {
      Loan loan = loans.computeIfAbsent(gateway, _ -> new Loan(nowNs));
      loan.lentUntilNs = Math.max(loan.lentUntilNs, untilNs);
      loan.attachedUntilNs = Math.max(loan.attachedUntilNs, untilNs);
    }
  }

  /** Records that a gateway brings its part of the advance. */
  void advance(String gateway, long untilNs, long nowNs) {
    count(nowNs);
    if (known.contains(gateway)) {
      Loan loan = loans.computeIfAbsent(gateway, _ -> new Loan(nowNs));
      loan.attachedUntilNs = Math.max(loan.attachedUntilNs, untilNs);
      advancedShare += 1.0 / known.size();
    }
  }

  void release(String gateway, long nowNs) {
    count(nowNs);
    loans.remove(gateway);
    if (known.contains(gateway)) {
      releasedNs.put(gateway, nowNs);
    }
  }

  /** Returns the share of the fleet that is lent to this issuer. */
  double lentShare(long nowNs) {
    count(nowNs);
    return fraction(loans.values().stream().filter(l -> l.lentUntilNs - nowNs > 0).count());
  }

  /** Returns the share of the fleet that is lent or has lately brought an advance. */
  double attachedShare(long nowNs) {
    count(nowNs);
    return fraction(loans.size());
  }

  /** Returns the integral of the lent share over time, in nanoseconds. */
  double earnedShareNs(long nowNs) {
    count(nowNs);
    return earnedShareNs;
  }

  /** Returns the sum of the shares that have brought an advance. */
  double advancedShare() {
    return advancedShare;
  }

  int fleetSize() {
    return known.size();
  }

  private double fraction(long gateways) {
    return known.isEmpty() ? 0 : gateways / (double) known.size();
  }

  private void count(long nowNs) {
    if (nowNs == countedNs) {
      return;
    }
    long lentNs = 0;
    for (Loan loan : loans.values()) {
      lentNs += Math.max(0, Math.min(nowNs, loan.lentUntilNs) - countedNs);
    }
    earnedShareNs += known.isEmpty() ? 0 : lentNs / (double) known.size();
    countedNs = nowNs;
    loans.values().removeIf(loan -> loan.attachedUntilNs - nowNs <= 0);
  }
}
