package org.cowslipstair.logic.lessee;

/**
 * Settings of a lessee.
 *
 * @param resendNs time after which an acquire without answer is sent again
 * @param retryNs time after which a call that no broker could serve looks for a slot again
 * @param silenceNs time after which a call waits in queues because the broker that it asked is
 *     silent
 * @param mostWaits most pools in whose queues a call waits at once
 * @param longestLingerNs longest time that an idle lease waits for the next call
 * @param lingerIntervals mean intervals between own calls for which an idle lease waits
 * @param lingerFreeShare share of the pool's slots that must be free for a lease to be kept
 * @param recallQuietNs time after a recall in which no lease is kept idle
 * @param cancelGraceNs time for which a backend server may go on with a call that was cancelled
 * @param warmNewsNs time for which a backend server counts as warm after the last news of it
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

  /** Returns the defaults. */
  public static LesseeSettings defaults() {
    return DEFAULTS;
  }
}
