package org.cowslipstair.logic.quota;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.model.tenant.Quota;
import org.cowslipstair.model.tenant.QuotaPolicy;
import org.cowslipstair.model.tenant.TenantName;
import org.junit.jupiter.api.Test;

final class QuotaIssuerTest {
  private static final long MS = 1_000_000L;
  private static final long SECOND_NS = 1_000 * MS;
  private static final long START_NS = -5 * SECOND_NS;
  private static final TenantName TENANT = new TenantName("t");
  private static final List<String> FLEET = List.of("a", "b");
  private static final QuotaBounds BOUNDS =
      new QuotaBounds(new Quota(10, 5), new QuotaPolicy(5_000, 0.1, 20));

  private final QuotaIssuer issuer =
      new QuotaIssuer(7, false, InvariantMonitor.failing(), new Random(3), START_NS);

  private static ShareOffer lends(long stampNs) {
    return new ShareOffer(7, stampNs, ShareOffer.Kind.LENDS, false);
  }

  private int grantedUntil(long endNs, long fromNs) {
    int granted = 0;
    for (long nowNs = fromNs; nowNs < endNs; nowNs += MS) {
      granted +=
          issuer.tryIssue(TENANT, BOUNDS, nowNs) instanceof QuotaIssuer.Decision.Granted ? 1 : 0;
    }
    return granted;
  }

  @Test
  void issuesNothingWithoutShares() {
    issuer.setFleet(FLEET, START_NS);
    assertThat(grantedUntil(START_NS + 10 * SECOND_NS, START_NS), is(0));
  }

  @Test
  void halfOfTheFleetLendsHalfOfTheQuota() {
    issuer.setFleet(FLEET, START_NS);
    int granted = 0;
    for (long nowNs = START_NS; nowNs < START_NS + 10 * SECOND_NS; nowNs += 500 * MS) {
      issuer.accept("a", lends(nowNs), nowNs);
      granted += grantedUntil(nowNs + 500 * MS, nowNs);
    }
    assertThat(
        (double) granted,
        lessThanOrEqualTo(10 * BOUNDS.permitsPerSecond() / 2 + BOUNDS.depth() / 2));
    assertThat(granted, greaterThan(46));
  }

  /** A message may have been on its way, or this gateway frozen, for any time. */
  @Test
  void oldStampsAndStampsOfOtherProcessesLendNothing() {
    issuer.setFleet(FLEET, START_NS);
    long nowNs = START_NS + 3 * SECOND_NS;
    issuer.accept("a", lends(nowNs - ShareLender.LOAN_NS), nowNs);
    issuer.accept("b", new ShareOffer(8, nowNs, ShareOffer.Kind.LENDS, true), nowNs);
    issuer.accept("unknown", lends(nowNs), nowNs);
    assertThat(issuer.lentShare(nowNs), is(0.0));
  }

  @Test
  void loanThatArrivesAfterItsEndDoesNotCount() {
    issuer.setFleet(FLEET, START_NS);
    issuer.accept("a", lends(START_NS), START_NS);
    issuer.accept("a", new ShareOffer(7, 0, ShareOffer.Kind.RELEASES, false), START_NS + MS);
    issuer.accept("a", lends(START_NS), START_NS + 2 * MS);
    assertThat(issuer.lentShare(START_NS + 2 * MS), is(0.0));
    issuer.accept("a", lends(START_NS + MS), START_NS + 2 * MS);
    assertThat(issuer.lentShare(START_NS + 2 * MS), is(0.5));
  }

  @Test
  void requestThatDidNotRunGivesItsPermitBack() {
    issuer.setFleet(FLEET, START_NS);
    issuer.accept("a", lends(START_NS), START_NS);
    issuer.accept("b", lends(START_NS), START_NS);
    long nowNs = START_NS + 120 * MS;
    assertThat(
        issuer.tryIssue(TENANT, BOUNDS, nowNs), instanceOf(QuotaIssuer.Decision.Granted.class));
    assertThat(
        issuer.tryIssue(TENANT, BOUNDS, nowNs), instanceOf(QuotaIssuer.Decision.Denied.class));
    issuer.giveBack(TENANT);
    assertThat(
        issuer.tryIssue(TENANT, BOUNDS, nowNs), instanceOf(QuotaIssuer.Decision.Granted.class));
  }

  @Test
  void shareIsLentToAnotherIssuerOnlyWhenTheFirstCannotUseItAnyLonger() {
    ShareLender lender = new ShareLender(START_NS);
    lender.recordReply("a", 7, 99, START_NS);
    assertThat(lender.offer("a", SECOND_NS, START_NS).kind(), is(ShareOffer.Kind.LENDS));
    long laterNs = START_NS + ShareLender.LOAN_NS - MS;
    lender.recordReply("b", 8, 1, laterNs);
    assertThat(lender.offer("b", SECOND_NS, laterNs).kind(), is(ShareOffer.Kind.NONE));
    assertThat(lender.heldUpBy("b", laterNs), is(Optional.of("a")));
    long endNs = START_NS + ShareLender.LOAN_NS;
    assertThat(lender.offer("b", SECOND_NS, endNs).kind(), is(ShareOffer.Kind.LENDS));
  }

  @Test
  void confirmedReleaseEndsALoanEarlier() {
    ShareLender lender = new ShareLender(START_NS);
    lender.recordReply("a", 7, 99, START_NS);
    lender.recordReply("b", 8, 1, START_NS);
    assertThat(lender.offer("a", SECOND_NS, START_NS).kind(), is(ShareOffer.Kind.LENDS));
    assertThat(lender.release("a").kind(), is(ShareOffer.Kind.RELEASES));
    assertThat(lender.offer("b", SECOND_NS, START_NS).kind(), is(ShareOffer.Kind.NONE));
    lender.recordReleased(7);
    assertThat(lender.offer("b", SECOND_NS, START_NS).kind(), is(ShareOffer.Kind.LENDS));
  }

  @Test
  void refusedCallersReturnOneAfterTheOther() {
    DenialMemory denials = new DenialMemory();
    denials.record(
        TENANT, new QuotaIssuer.Decision.Denied(300 * MS, 200 * MS, 9 * MS, true), START_NS);
    assertThat(denials.isPaused(TENANT, START_NS + 299 * MS), is(true));
    assertThat(denials.isPaused(TENANT, START_NS + 300 * MS), is(false));
    assertThat(denials.next(TENANT, START_NS).returnInNs(), is(300 * MS));
    assertThat(denials.next(TENANT, START_NS).returnInNs(), is(500 * MS));
    assertThat(denials.next(TENANT, START_NS + 100 * MS).returnInNs(), is(600 * MS));
  }

  @Test
  void gatewayMayRunOneRequestOfEachTenantRightAfterItsStart() {
    StartAllowance allowance = new StartAllowance(false, START_NS);
    assertThat(allowance.tryTake(TENANT, START_NS), is(true));
    assertThat(allowance.tryTake(TENANT, START_NS + SECOND_NS), is(false));
    assertThat(allowance.tryTake(new TenantName("u"), START_NS + SECOND_NS), is(true));
    assertThat(allowance.tryTake(new TenantName("v"), START_NS + 5 * SECOND_NS), is(false));
  }
}
