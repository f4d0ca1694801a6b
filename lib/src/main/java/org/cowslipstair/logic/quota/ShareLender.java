package org.cowslipstair.logic.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Lends the share that this gateway has of all quotas to one issuer at a time. A share is lent for
 * a bounded time after a stamp of the issuer, and to another issuer only once that time has passed
 * here too or the first one has confirmed that it does not use the share any longer. Not
 * thread-safe.
 */
public final class ShareLender {
  /** Time after the stamp of an issuer for which it may use the share. */
  public static final long LOAN_NS = 700_000_000L;

  private static final int MAX_STAMPS = 64;

  private final Map<String, Stamp> stamps = new HashMap<>();
  private Optional<Loan> loan = Optional.empty();
  private long advancedToId;
  private long advanceAllowedNs;

  private record Stamp(long issuerId, long stampNs, long receivedNs) {}

  private record Loan(String issuer, long issuerId, long untilNs) {}

  /**
   * Creates a lender that has lent nothing.
   *
   * @param nowNs monotonic time
   */
  public ShareLender(long nowNs) {
    this.advanceAllowedNs = nowNs;
  }

  /** Returns what to tell an issuer along with a request; the share counts as lent from now on. */
  public ShareOffer offer(String issuer, long windowNs, long nowNs) {
    Stamp stamp = stamps.get(issuer);
    if (stamp == null || nowNs - stamp.receivedNs >= LOAN_NS) {
      return ShareOffer.none();
    }
    boolean lends = loanElsewhere(stamp.issuerId, nowNs).isEmpty();
    if (lends) {
      loan = Optional.of(new Loan(issuer, stamp.issuerId, stamp.receivedNs + LOAN_NS));
    }
    boolean advances = stamp.issuerId != advancedToId && nowNs - advanceAllowedNs >= 0;
    if (advances) {
      advancedToId = stamp.issuerId;
      advanceAllowedNs = nowNs + windowNs;
    }
    return new ShareOffer(
        stamp.issuerId,
        stamp.stampNs,
        lends ? ShareOffer.Kind.LENDS : ShareOffer.Kind.NONE,
        advances);
  }

  /** Records the stamp in a reply of an issuer. */
  public void recordReply(String issuer, long issuerId, long stampNs, long nowNs) {
    if (stamps.size() >= MAX_STAMPS) {
      stamps.values().removeIf(stamp -> nowNs - stamp.receivedNs >= LOAN_NS);
    }
    stamps.put(issuer, new Stamp(issuerId, stampNs, nowNs));
  }

  /** Returns whether an issuer has replied within the given time. */
  public boolean hasReplied(String issuer, long withinNs, long nowNs) {
    Stamp stamp = stamps.get(issuer);
    return stamp != null && nowNs - stamp.receivedNs < withinNs;
  }

  /** Returns the issuer that holds up a loan to the given one; empty if there is none. */
  public Optional<String> heldUpBy(String issuer, long nowNs) {
    Stamp stamp = stamps.get(issuer);
    return stamp == null
        ? Optional.empty()
        : loanElsewhere(stamp.issuerId, nowNs).map(Loan::issuer);
  }

  /** Returns the offer that ends the loan to an issuer. */
  public ShareOffer release(String issuer) {
    return loan.filter(l -> l.issuer.equals(issuer))
        .map(l -> new ShareOffer(l.issuerId, 0, ShareOffer.Kind.RELEASES, false))
        .orElse(ShareOffer.none());
  }

  /** Records that an issuer has confirmed the end of a loan. */
  public void recordReleased(long issuerId) {
    loan = loan.filter(l -> l.issuerId != issuerId);
  }

  /** Returns whether the share is lent to an issuer. */
  public boolean isLentTo(String issuer, long nowNs) {
    return loan.filter(l -> l.issuer.equals(issuer) && nowNs - l.untilNs < 0).isPresent();
  }

  /** Returns the issuer that the share is lent to; empty if there is none. */
  public Optional<String> lentTo(long nowNs) {
    return loan.filter(l -> nowNs - l.untilNs < 0).map(Loan::issuer);
  }

  private Optional<Loan> loanElsewhere(long issuerId, long nowNs) {
    return loan.filter(l -> l.issuerId != issuerId && nowNs - l.untilNs < 0);
  }
}
