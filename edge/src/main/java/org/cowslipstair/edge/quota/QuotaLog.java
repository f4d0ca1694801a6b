package org.cowslipstair.edge.quota;

import java.util.Optional;
import org.cowslipstair.logic.quota.QuotaCoordinator;
import org.cowslipstair.logic.quota.QuotaIssuer;
import org.cowslipstair.model.tenant.Quota;
import org.jboss.logging.Logger;

/** Writes log lines about quotas, at most one a second about denials. */
final class QuotaLog {
  private static final Logger LOG = Logger.getLogger(QuotaLog.class);
  private static final long MIN_INTERVAL_NS = 1_000_000_000L;
  private static final long NS_PER_MS = 1_000_000L;

  private final QuotaIssuer issuer;
  private Optional<String> lentTo = Optional.empty();
  private boolean hasWritten;
  private long writtenNs;
  private long deniedSince;

  QuotaLog(QuotaIssuer issuer) {
    this.issuer = issuer;
  }

  /** Records to which gateway the own share is lent. */
  void onShareLent(Optional<String> newLentTo, double lentShare) {
    if (newLentTo.equals(lentTo)) {
      return;
    }
    LOG.infof(
        "quota: share lent to %s, before to %s; %.2f of the fleet lend to this gateway",
        newLentTo.orElse("none"), lentTo.orElse("none"), lentShare);
    lentTo = newLentTo;
  }

  /** Records a decision of this gateway. */
  void onDecision(QuotaCoordinator.Wanted wanted, QuotaCoordinator.Reply reply, long nowNs) {
    if (!(reply.decision().orElse(null) instanceof QuotaIssuer.Decision.Denied denied)) {
      return;
    }
    deniedSince++;
    if (hasWritten && nowNs - writtenNs < MIN_INTERVAL_NS) {
      return;
    }
    Quota quota = wanted.bounds().quota();
    LOG.infof(
        "quota: tenant %s denied at %.2f requests/s and a burst of %.1f; issued %d in the last"
            + " %d ms; next in %d ms; %.2f of the fleet lend to this gateway; %d denials in all"
            + " since the last line",
        wanted.tenant(),
        quota.requestsPerSecond(),
        quota.burstRequests(),
        issuer.issuedInWindow(wanted.tenant()),
        wanted.bounds().policy().windowMs(),
        denied.availableInNs() / NS_PER_MS,
        issuer.lentShare(nowNs),
        deniedSince);
    hasWritten = true;
    writtenNs = nowNs;
    deniedSince = 0;
  }
}
