package org.cowslipstair.logic.lessee;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cowslipstair.logic.admission.Admission.AdmissionRequest;
import org.cowslipstair.logic.membership.BrokerPlacement;
import org.cowslipstair.logic.membership.FleetView;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.ConfigObject;
import org.cowslipstair.model.config.ConfigSnapshot;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.Labels;
import org.cowslipstair.model.config.PolicyKind;
import org.cowslipstair.model.config.Selector;
import org.cowslipstair.model.config.Service;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.config.Zone;
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
import org.cowslipstair.model.peer.LeaseMessage.HeldLease;
import org.cowslipstair.model.peer.LeaseMessage.HeldLeases;
import org.cowslipstair.model.peer.LeaseMessage.HeldLeasesRequest;
import org.cowslipstair.model.peer.LeaseMessage.Recall;
import org.cowslipstair.model.peer.LeaseMessage.Refuse;
import org.cowslipstair.model.peer.LeaseMessage.RefuseReason;
import org.cowslipstair.model.peer.LeaseMessage.Release;
import org.cowslipstair.model.peer.LeaseMessage.Withdraw;
import org.cowslipstair.model.pool.CallOutcome;
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.model.pool.PoolId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LesseeCoreTest {
  private static final long NS_PER_MS = 1_000_000L;
  private static final ZoneName HOME_ZONE = new ZoneName("a");
  private static final ZoneName OTHER_ZONE = new ZoneName("b");
  private static final ServiceName SERVICE = new ServiceName("watch");
  private static final PoolId HOME_POOL = new PoolId(SERVICE, HOME_ZONE);
  private static final PoolId OTHER_POOL = new PoolId(SERVICE, OTHER_ZONE);
  private static final GatewayId SELF = new GatewayId(new GatewayName("self"), 1);
  private static final GatewayId HOME_BROKER = new GatewayId(new GatewayName("first"), 1);
  private static final GatewayId OTHER_BROKER = new GatewayId(new GatewayName("second"), 1);
  private static final CallReport ANSWERED = new CallReport(CallOutcome.ANSWERED, NS_PER_MS);
  private final IdleLeases idleLeases = new IdleLeases();
  private final LesseeCore lessee =
      new LesseeCore(
          HOME_ZONE, LesseeSettings.defaults(), idleLeases, view(1, HOME_BROKER, OTHER_BROKER));
  private long nowNs = 1;
  private long nextCallId = 1;

  /** Puts the lessee in a zone without backend servers, so that its peers are the brokers. */
  private static FleetView view(long number, GatewayId... ids) {
    List<Member> members = new ArrayList<>();
    HostPort address = new HostPort("127.0.0.1", 1);
    members.add(new Member(SELF, new ZoneName("c"), address, MemberState.LIVE));
    for (GatewayId id : ids) {
      ZoneName zone = id.equals(HOME_BROKER) ? HOME_ZONE : OTHER_ZONE;
      members.add(new Member(id, zone, address, MemberState.LIVE));
    }
    return new FleetView(number, SELF, members, false);
  }

  @BeforeEach
  void start() {
    List<ConfigObject> objects = new ArrayList<>();
    for (ZoneName zone : List.of(HOME_ZONE, OTHER_ZONE)) {
      objects.add(new Zone(zone, Labels.empty()));
      for (int i = 0; i < 4; i++) {
        BackendName name = new BackendName(zone + "-" + i);
        HostPort address = new HostPort("127.0.0.1", 1);
        objects.add(new BackendServer(name, Labels.empty(), zone, address, 3, 260));
      }
    }
    Selector all = Selector.everything();
    objects.add(new Service(SERVICE, Labels.empty(), all, all, PolicyKind.BROKER, 1_000, 1, false));
    lessee.onSnapshot(ConfigSnapshot.of(1, objects), nowNs);
    lessee.onConnected(HOME_BROKER, nowNs);
    lessee.onConnected(OTHER_BROKER, nowNs);
  }

  private List<LesseeAction> admit(boolean freeSlotOnly) {
    long deadlineNs = nowNs + 500 * NS_PER_MS;
    AdmissionRequest request = new AdmissionRequest(SERVICE, deadlineNs, freeSlotOnly, Set.of());
    return lessee.admit(nextCallId++, request, nowNs);
  }

  private static LeaseMessage lastMessage(List<LesseeAction> actions) {
    return actions.stream()
        .filter(LesseeAction.Send.class::isInstance)
        .map(action -> ((LesseeAction.Send) action).message())
        .reduce((_, last) -> last)
        .orElseThrow();
  }

  private static Grant grant(Acquire acquire, String backend, boolean warm) {
    long validNs = 2_500 * NS_PER_MS;
    BackendName name = new BackendName(backend);
    return new Grant(acquire.pool(), acquire.requestNumber(), name, validNs, warm, 5);
  }

  private Lease admitAndGrant(boolean warm, String backend) {
    Acquire acquire = (Acquire) lastMessage(admit(false));
    List<LesseeAction> actions =
        lessee.onMessage(HOME_BROKER, grant(acquire, backend, warm), nowNs);
    return ((LesseeAction.Admitted) actions.getFirst()).lease();
  }

  @Test
  void callRefusedInHomeZoneJoinsTwoQueuesAndTheFirstGrantCancelsTheOtherWait() {
    Acquire home = (Acquire) lastMessage(admit(false));
    Refuse full = new Refuse(HOME_POOL, home.requestNumber(), RefuseReason.FULL, List.of());

    List<LesseeAction> queueRequests = lessee.onMessage(HOME_BROKER, full, nowNs);
    Acquire atHome = (Acquire) ((LesseeAction.Send) queueRequests.getFirst()).message();
    Acquire inOtherZone = (Acquire) lastMessage(queueRequests);
    List<LesseeAction> granted =
        lessee.onMessage(OTHER_BROKER, grant(inOtherZone, "b-0", true), nowNs);

    assertThat(home.whenFull(), is(FullPoolPolicy.REFUSE));
    assertThat(atHome.pool(), is(HOME_POOL));
    assertThat(inOtherZone.pool(), is(OTHER_POOL));
    assertThat(inOtherZone.whenFull(), is(FullPoolPolicy.WAIT));
    assertThat(lastMessage(granted), is(new CancelAcquire(HOME_POOL, atHome.requestNumber())));
    assertThat(granted.getLast(), instanceOf(LesseeAction.Admitted.class));
  }

  @Test
  void callIsRefusedOnceEveryQueueRefusedIt() {
    Acquire home = (Acquire) lastMessage(admit(false));
    Refuse full = new Refuse(HOME_POOL, home.requestNumber(), RefuseReason.FULL, List.of());
    List<LesseeAction> queueRequests = lessee.onMessage(HOME_BROKER, full, nowNs);
    Acquire atHome = (Acquire) ((LesseeAction.Send) queueRequests.getFirst()).message();
    Acquire inOtherZone = (Acquire) lastMessage(queueRequests);

    List<LesseeAction> first =
        lessee.onMessage(
            HOME_BROKER,
            new Refuse(HOME_POOL, atHome.requestNumber(), RefuseReason.WAIT_TOO_LONG, List.of()),
            nowNs);
    List<LesseeAction> second =
        lessee.onMessage(
            OTHER_BROKER,
            new Refuse(OTHER_POOL, inOtherZone.requestNumber(), RefuseReason.FULL, List.of()),
            nowNs);

    assertThat(first, is(empty()));
    assertThat(second.getFirst(), instanceOf(LesseeAction.NotAdmitted.class));
  }

  @Test
  void callAlsoWaitsInAnotherZoneWhenItsBrokerDoesNotReply() {
    admit(false);
    nowNs += 19 * NS_PER_MS;
    assertThat(lessee.tick(nowNs), is(empty()));

    nowNs += NS_PER_MS;
    Acquire inOtherZone = (Acquire) lastMessage(lessee.tick(nowNs));

    assertThat(inOtherZone.pool(), is(OTHER_POOL));
    nowNs += NS_PER_MS;
    assertThat(lessee.tick(nowNs), is(empty()));
  }

  @Test
  void hedgeIsRefusedInsteadOfWaiting() {
    Acquire home = (Acquire) lastMessage(admit(true));
    Refuse full = new Refuse(HOME_POOL, home.requestNumber(), RefuseReason.FULL, List.of());

    List<LesseeAction> actions = lessee.onMessage(HOME_BROKER, full, nowNs);

    assertThat(home.whenFull(), is(FullPoolPolicy.REFUSE));
    assertThat(actions.getFirst(), instanceOf(LesseeAction.NotAdmitted.class));
  }

  @Test
  void leaseDurationCountsFromTheFirstSendOfTheAcquire() {
    admit(false);
    nowNs += 20 * NS_PER_MS;
    final long sentAtNs = nowNs;
    Acquire sent = (Acquire) lastMessage(lessee.tick(nowNs));
    nowNs += 100 * NS_PER_MS;
    Acquire repeated = (Acquire) lastMessage(lessee.tick(nowNs));

    List<LesseeAction> actions =
        lessee.onMessage(OTHER_BROKER, grant(repeated, "b-0", true), nowNs);
    Lease lease = ((LesseeAction.Admitted) actions.getLast()).lease();

    assertThat(repeated.requestNumber(), is(sent.requestNumber()));
    assertThat(lease.expiresAtNs(), is(sentAtNs + 2_500 * NS_PER_MS));
  }

  @Test
  void grantOfCancelledCallIsReleasedUnused() {
    Acquire acquire = (Acquire) lastMessage(admit(false));
    lessee.cancel(nextCallId - 1);

    List<LesseeAction> late = lessee.onMessage(HOME_BROKER, grant(acquire, "a-0", true), nowNs);

    assertThat(late, hasSize(1));
    assertThat(((Release) lastMessage(late)).report(), is(CallReport.unused()));
  }

  @Test
  void heldRequestReportsLeasesBeforeRepeatingAcquiresWithNewNumbers() {
    Lease lease = admitAndGrant(true, "a-0");
    Acquire pending = (Acquire) lastMessage(admit(false));

    List<LesseeAction> reply =
        lessee.onMessage(HOME_BROKER, new HeldLeasesRequest(HOME_POOL), nowNs);
    HeldLeases held = (HeldLeases) ((LesseeAction.Send) reply.getFirst()).message();
    Acquire repeated = (Acquire) lastMessage(reply);
    List<LesseeAction> late = lessee.onMessage(HOME_BROKER, grant(pending, "a-1", true), nowNs);

    assertThat(held.leases().getFirst().requestNumber(), is(lease.requestNumber()));
    assertThat(held.nextRequestNumber(), greaterThan(pending.requestNumber()));
    assertThat(repeated.requestNumber(), greaterThan(held.nextRequestNumber()));
    assertThat(lastMessage(late), instanceOf(Release.class));
  }

  @Test
  void heldReportDiscardsIdleLeasesAndListsCallsThatMayStillRun() {
    Lease idleLease = admitAndGrant(true, "a-0");
    Lease cancelled = admitAndGrant(true, "a-1");
    makeFrequentCalls();
    assertThat(idleLeases.tryRetain(idleLease, ANSWERED, nowNs), is(true));
    lessee.releaseLease(cancelled, new CallReport(CallOutcome.CANCELLED, 1), nowNs);

    List<LesseeAction> reply =
        lessee.onMessage(HOME_BROKER, new HeldLeasesRequest(HOME_POOL), nowNs);
    HeldLeases held = (HeldLeases) ((LesseeAction.Send) reply.getFirst()).message();

    long number = cancelled.requestNumber();
    BackendName backend = cancelled.backend();
    assertThat(held.leases(), is(List.of(new HeldLease(number, backend, 200 * NS_PER_MS, true))));
    assertThat(idleLeases.tryAcquire(HOME_POOL, Set.of(), nowNs + 1, nowNs), is(Optional.empty()));
  }

  @Test
  void withdrawnLeasesStartNoFurtherCall() {
    Lease inUse = admitAndGrant(true, "a-0");
    Lease idleLease = admitAndGrant(true, "a-0");
    Lease other = admitAndGrant(true, "a-1");
    makeFrequentCalls();
    idleLeases.tryRetain(idleLease, ANSWERED, nowNs);

    BackendName withdrawnBackend = inUse.backend();
    Release release =
        (Release)
            lastMessage(
                lessee.onMessage(HOME_BROKER, new Withdraw(HOME_POOL, withdrawnBackend), nowNs));

    assertThat(release.requestNumber(), is(idleLease.requestNumber()));
    assertThat(inUse.canStartCall(nowNs), is(false));
    assertThat(idleLeases.tryRetain(inUse, ANSWERED, nowNs), is(false));
    assertThat(other.canStartCall(nowNs), is(true));
  }

  private void makeFrequentCalls() {
    for (int i = 0; i < 20; i++) {
      nowNs += NS_PER_MS;
      admit(true);
    }
  }

  @Test
  void callOfDisconnectedBrokerWaitsInAnotherZoneAndLeasesAreReportedOnReconnect() {
    Lease lease = admitAndGrant(true, "a-0");
    admit(false);

    Acquire inOtherZone = (Acquire) lastMessage(lessee.onDisconnected(HOME_BROKER, nowNs));
    HeldLeases held = (HeldLeases) lastMessage(lessee.onConnected(HOME_BROKER, nowNs));

    assertThat(inOtherZone.pool(), is(OTHER_POOL));
    assertThat(held.leases().getFirst().requestNumber(), is(lease.requestNumber()));
  }

  @Test
  void withoutBrokerOnlyOwnedSlotsOfWarmBackendsAreUsed() {
    for (int i = 0; i < 4; i++) {
      Lease lease = admitAndGrant(i < 3, "a-" + i);
      lessee.releaseLease(lease, ANSWERED, nowNs);
    }
    lessee.onDisconnected(HOME_BROKER, nowNs);
    lessee.onDisconnected(OTHER_BROKER, nowNs);

    List<BackendName> started = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      for (LesseeAction action : admit(true)) {
        if (action instanceof LesseeAction.Admitted(long _, Lease lease)) {
          assertThat(lease.grantingBroker(), is(Optional.empty()));
          started.add(lease.backend());
        }
      }
    }
    List<BackendName> owned = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      BackendName name = new BackendName("a-" + i);
      for (int slot = 0; slot < 3; slot++) {
        Member owner =
            BrokerPlacement.fallbackSlotOwner(name, slot, view(1, HOME_BROKER, OTHER_BROKER))
                .orElseThrow();
        if (owner.id().equals(SELF)) {
          owned.add(name);
        }
      }
    }
    assertThat(started.stream().sorted().toList(), is(owned));
    assertThat(owned.size(), lessThan(9));
    assertThat(owned.size(), greaterThan(0));
  }

  @Test
  void processPauseForbidsCallsUnderEveryLease() {
    Lease lease = admitAndGrant(true, "a-0");

    lessee.afterPause(nowNs);

    assertThat(lease.canStartCall(nowNs), is(false));
    assertThat(idleLeases.tryRetain(lease, ANSWERED, nowNs), is(false));
  }

  @Test
  void idleLeaseIsReusedByTheNextCallAndReleasedOnRecallByItsBroker() {
    Lease lease = admitAndGrant(true, "a-0");
    makeFrequentCalls();
    assertThat(idleLeases.tryRetain(lease, ANSWERED, nowNs), is(true));
    long deadlineNs = nowNs + 500 * NS_PER_MS;
    Set<BackendName> other = Set.of(lease.backend());
    assertThat(idleLeases.tryAcquire(HOME_POOL, other, deadlineNs, nowNs), is(Optional.empty()));
    assertThat(
        idleLeases.tryAcquire(HOME_POOL, Set.of(), deadlineNs, nowNs), is(Optional.of(lease)));

    idleLeases.tryRetain(lease, ANSWERED, nowNs);
    Release release =
        (Release) lastMessage(lessee.onMessage(HOME_BROKER, new Recall(HOME_POOL, 1), nowNs));

    assertThat(release.requestNumber(), is(lease.requestNumber()));
    assertThat(idleLeases.tryAcquire(HOME_POOL, Set.of(), deadlineNs, nowNs), is(Optional.empty()));
    Lease next = admitAndGrant(true, "a-1");
    assertThat(idleLeases.tryRetain(next, ANSWERED, nowNs), is(false));
    assertThat(lessee.onMessage(OTHER_BROKER, new Recall(HOME_POOL, 1), nowNs), is(empty()));
  }
}
