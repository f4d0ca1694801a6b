package org.cowslipstair.edge.quota;

import java.util.List;
import java.util.Optional;
import org.cowslipstair.logic.quota.QuotaIssuer;

/**
 * What a gateway knows about quotas, for metrics and the state dump.
 *
 * @param lentTo gateway that the share of this one is lent to
 * @param lentShare share of the fleet that is lent to this gateway
 * @param grantedCount permits issued by this gateway
 * @param deniedCount requests for permits that this gateway denied as an issuer
 * @param forwardedCount requests for permits sent to other gateways
 * @param unansweredCount messages that were not answered in time
 * @param refusedCount requests of callers that got no permit
 * @param topUsages tenants that this gateway issued most to in the last window
 */
public record QuotaStatus(
    Optional<String> lentTo,
    double lentShare,
    long grantedCount,
    long deniedCount,
    long forwardedCount,
    long unansweredCount,
    long refusedCount,
    List<QuotaIssuer.Usage> topUsages) {
  /** Maximum number of tenants that are told. */
  static final int MAX_TENANTS = 20;
}
