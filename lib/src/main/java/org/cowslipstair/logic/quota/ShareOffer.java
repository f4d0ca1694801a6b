package org.cowslipstair.logic.quota;

/**
 * What a gateway tells an issuer about its share of all quotas. It repeats the latest stamp of the
 * issuer, so that the issuer measures the age of the offer with its own clock, however long the
 * message took.
 *
 * @param issuerId number of the issuer's process, 0 if no stamp is known
 * @param stampNs monotonic time of the issuer in its latest reply
 * @param kind what becomes of the share
 * @param advances whether the gateway brings its part of the advance
 */
public record ShareOffer(long issuerId, long stampNs, Kind kind, boolean advances) {
  /** What becomes of the share of a gateway. */
  public enum Kind {
    /** It stays where it is. */
    NONE,
    /** The issuer may use it until some time after the stamp. */
    LENDS,
    /** The issuer must not use it any longer. */
    RELEASES
  }

  /** Returns the offer of a gateway that knows no stamp of the issuer. */
  static ShareOffer none() {
    return new ShareOffer(0, 0, Kind.NONE, false);
  }
}
