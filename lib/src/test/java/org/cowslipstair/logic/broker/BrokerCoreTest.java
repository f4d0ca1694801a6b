package org.cowslipstair.logic.broker;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.cowslipstair.logic.backend.BackendTrackerSettings;
import org.cowslipstair.logic.backend.PoolBackendTracker;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.logic.membership.FleetView;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.Labels;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.model.fleet.MemberState;
import org.cowslipstair.model.peer.LeaseMessage;
import org.cowslipstair.model.peer.LeaseMessage.Acquire;
import org.cowslipstair.model.peer.LeaseMessage.CancelAcquire;
import org.cowslipstair.model.peer.LeaseMessage.FullPoolPolicy;
import org.cowslipstair.model.peer.LeaseMessage.Grant;
import org.cowslipstair.model.peer.LeaseMessage.HandOver;
import org.cowslipstair.model.peer.LeaseMessage.HandOverBackend;
import org.cowslipstair.model.peer.LeaseMessage.HandOverLease;
import org.cowslipstair.model.peer.LeaseMessage.HeldLease;
import org.cowslipstair.model.peer.LeaseMessage.HeldLeases;
import org.cowslipstair.model.peer.LeaseMessage.Refuse;
import org.cowslipstair.model.peer.LeaseMessage.RefuseReason;
import org.cowslipstair.model.peer.LeaseMessage.Release;
import org.cowslipstair.model.peer.LeaseMessage.Withdraw;
import org.cowslipstair.model.pool.BackendState;
import org.cowslipstair.model.pool.CallOutcome;
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.model.pool.PoolId;
import org.junit.jupiter.api.Test;

class BrokerCoreTest {
  private static final long NS_PER_MS = 1_000_000L;
  private static final ZoneName ZONE = new ZoneName("a");
  private static final PoolId POOL = new PoolId(new ServiceName("watch"), ZONE);
  private static final GatewayId SELF = new GatewayId(new GatewayName("g0"), 1);
  private static final GatewayId PEER = new GatewayId(new GatewayName("g1"), 1);
  private static final GatewayId OTHER = new GatewayId(new GatewayName("g2"), 1);
  private static final BackendName B0 = new BackendName("b0");
  private final ColdBackendOwnership coldOwners = new ColdBackendOwnership(30_000 * NS_PER_MS);
  private final BrokerCore broker =
      new BrokerCore(
          POOL,
          BrokerSettings.defaults(),
          new PoolBackendTracker(
              POOL, BackendTrackerSettings.defaults(), new Random(1), InvariantMonitor.failing()),
          coldOwners,
          new Random(1),
          InvariantMonitor.failing());
  private long nowNs = 1;

  private void configure(int backends) {
    List<BackendServer> members = new ArrayList<>();
    Set<BackendName> acceptingNewCalls = new HashSet<>();
    for (int i = 0; i < backends; i++) {
      BackendName name = new BackendName("b" + i);
      HostPort address = new HostPort("127.0.0.1", 1);
      members.add(new BackendServer(name, Labels.empty(), ZONE, address, 3, 260));
      acceptingNewCalls.add(name);
    }
    broker.configure(members, acceptingNewCalls, 1_000 * NS_PER_MS, nowNs);
  }

  private static FleetView view(GatewayId... ids) {
    List<Member> members = new ArrayList<>();
    for (GatewayId id : ids) {
      members.add(new Member(id, ZONE, new HostPort("127.0.0.1", 1), MemberState.LIVE));
    }
    return new FleetView(1, SELF, members, false);
  }

  private void startTermAndCompleteRecovery(int backends) {
    configure(backends);
    broker.startTerm(view(SELF, PEER, OTHER), nowNs);
    for (GatewayId id : List.of(SELF, PEER, OTHER)) {
      send(id, new HeldLeases(POOL, 1, List.of()));
    }
    advance(200);
  }

  private List<LeaseMessage> advance(long ms) {
    nowNs += ms * NS_PER_MS;
    return sentMessages(broker.tick(nowNs));
  }

  private List<LeaseMessage> send(GatewayId from, LeaseMessage message) {
    return sentMessages(broker.onMessage(from, message, nowNs));
  }

  private static List<LeaseMessage> sentMessages(List<BrokerAction> actions) {
    List<LeaseMessage> messages = new ArrayList<>();
    for (BrokerAction action : actions) {
      if (action instanceof BrokerAction.Send(GatewayId _, LeaseMessage message)) {
        messages.add(message);
      }
    }
    return messages;
  }

  private static Acquire acquire(long number, long remainingMs, FullPoolPolicy whenFull) {
    return new Acquire(POOL, number, remainingMs * NS_PER_MS, whenFull, Set.of());
  }

  private static Release release(long number, CallOutcome end) {
    return new Release(POOL, number, new CallReport(end, NS_PER_MS));
  }

  @Test
  void repeatedAcquireGetsTheSameGrantAndIsRefusedAfterRelease() {
    startTermAndCompleteRecovery(2);

    List<LeaseMessage> first = send(PEER, acquire(5, 100, FullPoolPolicy.WAIT));
    List<LeaseMessage> repeated = send(PEER, acquire(5, 90, FullPoolPolicy.WAIT));
    send(PEER, release(5, CallOutcome.ANSWERED));
    List<LeaseMessage> afterRelease = send(PEER, acquire(5, 80, FullPoolPolicy.WAIT));

    assertThat(first.getFirst(), instanceOf(Grant.class));
    assertThat(((Grant) repeated.getFirst()).backend(), is(((Grant) first.getFirst()).backend()));
    assertThat(afterRelease.getFirst(), instanceOf(Refuse.class));
    assertThat(broker.freeSlots(), is(2));
  }

  @Test
  void slotOfCancelledCallStaysBusyForTheGracePeriod() {
    startTermAndCompleteRecovery(1);
    send(PEER, acquire(1, 100, FullPoolPolicy.REFUSE));

    send(PEER, release(1, CallOutcome.CANCELLED));
    assertThat(broker.freeSlots(), is(0));
    advance(199);
    assertThat(broker.freeSlots(), is(0));
    advance(1);

    assertThat(broker.freeSlots(), is(1));
  }

  @Test
  void slotOfDeadGatewayStaysBusyForTheGracePeriod() {
    startTermAndCompleteRecovery(1);
    send(PEER, acquire(1, 100, FullPoolPolicy.REFUSE));

    broker.onView(view(SELF, OTHER), nowNs);
    advance(199);
    assertThat(broker.freeSlots(), is(0));
    advance(1);

    assertThat(broker.freeSlots(), is(1));
  }

  @Test
  void gatewayWronglyDeclaredDeadGetsNoSecondGrantForItsRequest() {
    startTermAndCompleteRecovery(2);
    send(PEER, acquire(1, 100, FullPoolPolicy.REFUSE));
    broker.onView(view(SELF, OTHER), nowNs);
    broker.onView(view(SELF, PEER, OTHER), nowNs);

    List<LeaseMessage> repeated = send(PEER, acquire(1, 90, FullPoolPolicy.WAIT));

    assertThat(repeated.getFirst(), instanceOf(Refuse.class));
    assertThat(broker.freeSlots(), is(1));
  }

  @Test
  void eachColdBackendIsUsableOnExactlyOneSideOfAPartition() {
    configure(30);
    coldOwners.onView(view(SELF, PEER, OTHER), nowNs);
    startTermAndCompleteRecovery(30);
    assertThat(broker.freeSlots(), is(30));

    coldOwners.onView(view(SELF), nowNs);
    int freeOnThisSide = broker.freeSlots();
    coldOwners.onView(view(SELF, PEER, OTHER), nowNs);
    coldOwners.onView(view(PEER, OTHER), nowNs);
    int freeOnOtherSide = broker.freeSlots();

    assertThat(freeOnThisSide + freeOnOtherSide, is(30));
    assertThat(freeOnThisSide, greaterThan(0));
    coldOwners.tick(nowNs + 30_000 * NS_PER_MS);
    assertThat(broker.freeSlots(), is(30));
  }

  @Test
  void earliestDeadlineIsServedFirstAndTooLongWaitsAreRefusedImmediately() {
    startTermAndCompleteRecovery(1);
    send(PEER, acquire(1, 1_000, FullPoolPolicy.REFUSE));
    send(PEER, new Release(POOL, 1, new CallReport(CallOutcome.ANSWERED, 20 * NS_PER_MS)));
    send(PEER, acquire(2, 1_000, FullPoolPolicy.REFUSE));
    send(PEER, acquire(3, 500, FullPoolPolicy.WAIT));
    send(OTHER, acquire(4, 300, FullPoolPolicy.WAIT));

    List<LeaseMessage> tooLongWait = send(OTHER, acquire(5, 79, FullPoolPolicy.WAIT));
    List<LeaseMessage> served = send(PEER, release(2, CallOutcome.ANSWERED));

    assertThat(((Refuse) tooLongWait.getFirst()).reason(), is(RefuseReason.WAIT_TOO_LONG));
    assertThat(((Grant) served.getFirst()).requestNumber(), is(4L));
  }

  @Test
  void cancelReceivedBeforeItsAcquirePreventsTheGrant() {
    startTermAndCompleteRecovery(1);

    send(PEER, new CancelAcquire(POOL, 7));
    List<LeaseMessage> replies = send(PEER, acquire(7, 100, FullPoolPolicy.WAIT));

    assertThat(replies.getFirst(), instanceOf(Refuse.class));
    assertThat(broker.freeSlots(), is(1));
  }

  @Test
  void recoveryGrantsOnlyReportedSlotsUntilAllPeersReported() {
    configure(2);
    broker.startTerm(view(SELF, PEER, OTHER), nowNs);
    send(SELF, new HeldLeases(POOL, 1, List.of()));
    HeldLease held = new HeldLease(3, B0, 500 * NS_PER_MS, false);
    send(PEER, new HeldLeases(POOL, 9, List.of(held)));
    advance(300);

    assertThat(
        send(PEER, acquire(10, 100, FullPoolPolicy.REFUSE)).getFirst(), instanceOf(Refuse.class));
    send(PEER, release(3, CallOutcome.ANSWERED));
    List<LeaseMessage> reused = send(PEER, acquire(11, 100, FullPoolPolicy.REFUSE));
    assertThat(((Grant) reused.getFirst()).backend(), is(B0));
    assertThat(
        send(PEER, acquire(12, 100, FullPoolPolicy.REFUSE)).getFirst(), instanceOf(Refuse.class));

    send(OTHER, new HeldLeases(POOL, 1, List.of()));
    assertThat(
        send(PEER, acquire(13, 100, FullPoolPolicy.REFUSE)).getFirst(), instanceOf(Grant.class));
  }

  @Test
  void recoveryCompletesWhenTheLongestPossibleUnreportedLeaseHasExpired() {
    configure(1);
    broker.startTerm(view(SELF, PEER), nowNs);

    advance(3_199);
    assertThat(broker.freeSlots(), is(0));
    advance(1);

    assertThat(broker.freeSlots(), is(1));
  }

  @Test
  void handOverReceivedBeforeTheTermIsAdoptedOnceAtItsStart() {
    configure(1);
    HandOverLease lease = new HandOverLease(PEER, 4, B0, 400 * NS_PER_MS, false);
    HandOverBackend warm = new HandOverBackend(B0, new BackendState.Warm(), 3);
    HandOver handOver = new HandOver(POOL, 1, true, List.of(lease), List.of(warm));
    send(OTHER, handOver);
    broker.startTerm(view(SELF, PEER, OTHER), nowNs);

    assertThat(broker.freeSlots(), is(2));
    send(PEER, new HeldLeases(POOL, 6, List.of()));
    assertThat(broker.freeSlots(), is(3));
    send(OTHER, handOver);
    assertThat(broker.freeSlots(), is(3));
  }

  @Test
  void leasesOverALoweredLimitAreWithdrawnOnce() {
    configure(1);
    HandOverBackend warm = new HandOverBackend(B0, new BackendState.Warm(), 3);
    send(OTHER, new HandOver(POOL, 1, true, List.of(), List.of(warm)));
    broker.startTerm(view(SELF, PEER, OTHER), nowNs);
    for (int number = 1; number <= 3; number++) {
      send(PEER, acquire(number, 100, FullPoolPolicy.REFUSE));
    }

    List<LeaseMessage> afterShed = send(PEER, release(1, CallOutcome.SHED));

    assertThat(afterShed, hasSize(1));
    assertThat(afterShed.getFirst(), instanceOf(Withdraw.class));
    assertThat(advance(1), is(empty()));
  }

  @Test
  void endOfTermSendsTheLeaseTableToTheSuccessorAndRefusesAcquires() {
    startTermAndCompleteRecovery(1);
    send(PEER, acquire(1, 100, FullPoolPolicy.REFUSE));
    send(PEER, acquire(2, 100, FullPoolPolicy.WAIT));

    List<LeaseMessage> finalMessages = sentMessages(broker.endTerm(Optional.of(OTHER), nowNs));
    List<LeaseMessage> repliesAfterTerm = send(PEER, acquire(3, 100, FullPoolPolicy.WAIT));

    assertThat(finalMessages, hasSize(2));
    assertThat(((HandOver) finalMessages.getLast()).leases(), hasSize(1));
    assertThat(((Refuse) repliesAfterTerm.getFirst()).reason(), is(RefuseReason.NOT_BROKER));
    assertThat(broker.isInTerm(), is(not(true)));
  }
}
