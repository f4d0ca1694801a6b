package org.cowslipstair.logic.lessee;

/**
 * Settings of a lessee.
 *
 * @param resendNs interval at which a pending acquire is sent again
 * @param retryNs time after which a call that no broker could serve tries again to get a slot
 * @param silenceNs time without a reply from the broker after which a call joins queues
 * @param mostWaits maximum number of pools in whose queues a call waits at the same time
 * @param longestLingerNs maximum time that a lease is kept idle for the next call
 * @param lingerIntervals time that a lease is kept idle, in mean intervals between own calls
 * @param lingerFreeShare share of the pool's slots that must be free for a lease to be kept idle
 * @param recallQuietNs time after a recall in which no lease is kept idle
 * @param cancelGraceNs time for which a backend server may continue to run a cancelled call
 * @param warmNewsNs time for which a backend server counts as warm after a grant reported it warm
 */
public record LesseeSettings(
    long resendNs,
    long retryNs,
    long silenceNs,
    int mostWaits,
    long longestLingerNs,
    double lingerIntervals,
    double lingerFreeShare,
    long recallQuietNs,
    long cancelGraceNs,
    long warmNewsNs) {
  private static final LesseeSettings DEFAULTS =
      new LesseeSettings(
          100_000_000L,
          10_000_000L,
          20_000_000L,
          2,
          50_000_000L,
          1.0,
          0.4,
          200_000_000L,
          200_000_000L,
          10_000_000_000L);

  /** Returns the default settings. */
  public static LesseeSettings defaults() {
    return DEFAULTS;
  }
}
