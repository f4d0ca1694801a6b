package org.cowslipstair.edge.quota;

import java.util.Optional;
import org.cowslipstair.logic.quota.QuotaCoordinator;
import org.cowslipstair.logic.quota.ShareOffer;
import org.cowslipstair.model.tenant.Quota;
import org.cowslipstair.model.tenant.TenantName;

/** Message between a gateway and the one that issues the permits of tenants. */
sealed interface QuotaMessage {
  /**
   * Lends a share, and requests a permit if a tenant is given.
   *
   * @param id number of the request at its sender; the reply repeats it
   * @param sender name of the gateway that sends it
   */
  record Request(long id, String sender, ShareOffer offer, Optional<Wanted> wanted)
      implements QuotaMessage {}

  /**
   * A request for a permit.
   *
   * @param quota limit that the sender knows
   * @param planVersion version of the configuration in which it knows it
   */
  record Wanted(TenantName tenant, Quota quota, long planVersion) {}

  /** Responds to a request. */
  record Reply(long id, QuotaCoordinator.Reply content) implements QuotaMessage {}

  /** Gives back a permit whose request has not run. Has no reply. */
  record GiveBack(TenantName tenant) implements QuotaMessage {}
}
