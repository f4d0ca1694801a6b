package org.cowslipstair.edge.quota;

import java.util.OptionalLong;
import org.cowslipstair.edge.exchange.AdmissionStep;
import org.cowslipstair.edge.exchange.Refusal;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.tenant.Quota;
import org.cowslipstair.model.tenant.TenantName;
import org.cowslipstair.port.MonotonicClock;

/**
 * Admits a request of a tenant if the quota allows it. One permit is for one request of a caller,
 * however often it is sent to backend servers; that of a request that did not run is given back.
 */
public final class QuotaStep implements AdmissionStep {
  /** Share of the time until the target latency that may be spent on a permit. */
  private static final double MAX_WAIT_SHARE = 0.5;

  private final QuotaService service;
  private final TenantName tenant;
  private final Quota quota;
  private final long waitNs;
  private boolean isGranted;
  private boolean isEnded;

  private QuotaStep(QuotaService service, TenantName tenant, Quota quota, long waitNs) {
    this.service = service;
    this.tenant = tenant;
    this.quota = quota;
    this.waitNs = waitNs;
  }

  /** Returns a factory; a request without a quota needs no step. */
  public static Factory factory(QuotaService service, MonotonicClock clock) {
    return request ->
        request
            .tenant()
            .filter(_ -> service.isEnabled())
            .flatMap(
                tenant ->
                    tenant
                        .quota()
                        .map(
                            quota ->
                                new QuotaStep(
                                    service, tenant.name(), quota, waitNs(request, clock))));
  }

  private static long waitNs(Request request, MonotonicClock clock) {
    return Math.max(0, (long) ((request.targetNs() - clock.nowNs()) * MAX_WAIT_SHARE));
  }

  @Override
  public void decide(Listener listener) {
    service.acquire(
        tenant,
        quota,
        waitNs,
        new QuotaService.Listener() {
          @Override
          public void onGranted(boolean isIssued) {
            isGranted = isIssued;
            if (isEnded) {
              giveBack();
              return;
            }
            listener.onAdmitted();
          }

          @Override
          public void onDenied(long returnInNs, boolean isOverQuota) {
            NotRunReason reason =
                isOverQuota ? NotRunReason.OVER_QUOTA : NotRunReason.GATEWAY_ISOLATED;
            listener.onRefused(new Refusal.NotRun(reason, OptionalLong.of(returnInNs)));
          }
        });
  }

  @Override
  public void onEnded(Ending ending) {
    isEnded = true;
    if (ending == Ending.NOT_RUN) {
      giveBack();
    }
  }

  private void giveBack() {
    if (isGranted) {
      isGranted = false;
      service.giveBack(tenant);
    }
  }
}
