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
import org.cowslipstair.model.peer.LeaseMessage.Grant;
import org.cowslipstair.model.peer.LeaseMessage.Held;
import org.cowslipstair.model.peer.LeaseMessage.HeldLease;
import org.cowslipstair.model.peer.LeaseMessage.HeldRequest;
import org.cowslipstair.model.peer.LeaseMessage.Recall;
import org.cowslipstair.model.peer.LeaseMessage.Refuse;
import org.cowslipstair.model.peer.LeaseMessage.RefuseReason;
import org.cowslipstair.model.peer.LeaseMessage.Release;
import org.cowslipstair.model.peer.LeaseMessage.WhenFull;
import org.cowslipstair.model.peer.LeaseMessage.Withdraw;
import org.cowslipstair.model.pool.CallEnd;
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.model.pool.PoolId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LesseeCoreTest {
  private static final long NS_PER_MS = 1_000_000L;
  private static final ZoneName HOME = new ZoneName("a");
  private static final ZoneName AWAY = new ZoneName("b");
  private static final ServiceName SERVICE = new ServiceName("watch");
  private static final PoolId HOME_POOL = new PoolId(SERVICE, HOME);
  private static final PoolId AWAY_POOL = new PoolId(SERVICE, AWAY);
  private static final GatewayId SELF = new GatewayId(new GatewayName("self"), 1);
  private static final GatewayId FIRST = new GatewayId(new GatewayName("first"), 1);
  private static final GatewayId SECOND = new GatewayId(new GatewayName("second"), 1);
  private static final CallReport ANSWERED = new CallReport(CallEnd.ANSWERED, NS_PER_MS);
  private final IdleLeases idle = new IdleLeases();
  private final LesseeCore lessee =
      new LesseeCore(HOME, LesseeSettings.defaults(), idle, view(1, FIRST, SECOND));
  private long nowNs = 1;
  private long nextCall = 1;

  /** The lessee's own zone has no other gateway, so that peers are the brokers. */
  private static FleetView view(long number, GatewayId... ids) {
    List<Member> members = new ArrayList<>();
    HostPort address = new HostPort("127.0.0.1", 1);
    members.add(new Member(SELF, new ZoneName("c"), address, MemberState.LIVE));
    for (GatewayId id : ids) {
      ZoneName zone = id.equals(FIRST) ? HOME : AWAY;
      members.add(new Member(id, zone, address, MemberState.LIVE));
    }
    return new FleetView(number, SELF, members, false);
  }

  @BeforeEach
  void start() {
    List<ConfigObject> objects = new ArrayList<>();
    for (ZoneName zone : List.of(HOME, AWAY)) {
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
    lessee.onConnected(FIRST, nowNs);
    lessee.onConnected(SECOND, nowNs);
  }

  private List<LesseeAction> admit(boolean freeSlotOnly) {
    long deadlineNs = nowNs + 500 * NS_PER_MS;
    AdmissionRequest request = new AdmissionRequest(SERVICE, deadlineNs, freeSlotOnly, Set.of());
    return lessee.admit(nextCall++, request, nowNs);
  }

  private static LeaseMessage message(List<LesseeAction> actions) {
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

  private Lease admitted(boolean warm, String backend) {
    Acquire acquire = (Acquire) message(admit(false));
    List<LesseeAction> actions = lessee.onMessage(FIRST, grant(acquire, backend, warm), nowNs);
    return ((LesseeAction.Admitted) actions.getFirst()).lease();
  }

  @Test
  void callRefusedAtHomeWaitsInTwoQueuesAndTheFirstGrantEndsTheOtherWait() {
    Acquire home = (Acquire) message(admit(false));
    Refuse full = new Refuse(HOME_POOL, home.requestNumber(), RefuseReason.FULL, List.of());

    List<LesseeAction> waits = lessee.onMessage(FIRST, full, nowNs);
    Acquire atHome = (Acquire) ((LesseeAction.Send) waits.getFirst()).message();
    Acquire away = (Acquire) message(waits);
    List<LesseeAction> granted = lessee.onMessage(SECOND, grant(away, "b-0", true), nowNs);

    assertThat(home.whenFull(), is(WhenFull.REFUSE));
    assertThat(atHome.pool(), is(HOME_POOL));
    assertThat(away.pool(), is(AWAY_POOL));
    assertThat(away.whenFull(), is(WhenFull.WAIT));
    assertThat(message(granted), is(new CancelAcquire(HOME_POOL, atHome.requestNumber())));
    assertThat(granted.getLast(), instanceOf(LesseeAction.Admitted.class));
  }

  @Test
  void callIsRefusedOnceEveryQueueRefusedIt() {
    Acquire home = (Acquire) message(admit(false));
    Refuse full = new Refuse(HOME_POOL, home.requestNumber(), RefuseReason.FULL, List.of());
    List<LesseeAction> waits = lessee.onMessage(FIRST, full, nowNs);
    Acquire atHome = (Acquire) ((LesseeAction.Send) waits.getFirst()).message();
    Acquire away = (Acquire) message(waits);

    List<LesseeAction> first =
        lessee.onMessage(
            FIRST,
            new Refuse(HOME_POOL, atHome.requestNumber(), RefuseReason.WAIT_TOO_LONG, List.of()),
            nowNs);
    List<LesseeAction> second =
        lessee.onMessage(
            SECOND,
            new Refuse(AWAY_POOL, away.requestNumber(), RefuseReason.FULL, List.of()),
            nowNs);

    assertThat(first, is(empty()));
    assertThat(second.getFirst(), instanceOf(LesseeAction.NotAdmitted.class));
  }

  @Test
  void callWaitsElsewhereTooWhenItsBrokerIsSilent() {
    admit(false);
    nowNs += 19 * NS_PER_MS;
    assertThat(lessee.tick(nowNs), is(empty()));

    nowNs += NS_PER_MS;
    Acquire away = (Acquire) message(lessee.tick(nowNs));

    assertThat(away.pool(), is(AWAY_POOL));
    nowNs += NS_PER_MS;
    assertThat(lessee.tick(nowNs), is(empty()));
  }

  @Test
  void hedgeIsRefusedInsteadOfWaiting() {
    Acquire home = (Acquire) message(admit(true));
    Refuse full = new Refuse(HOME_POOL, home.requestNumber(), RefuseReason.FULL, List.of());

    List<LesseeAction> actions = lessee.onMessage(FIRST, full, nowNs);

    assertThat(home.whenFull(), is(WhenFull.REFUSE));
    assertThat(actions.getFirst(), instanceOf(LesseeAction.NotAdmitted.class));
  }

  @Test
  void leaseEndsCountedFromWhenTheAcquireWasFirstSent() {
    admit(false);
    nowNs += 20 * NS_PER_MS;
    final long sentAtNs = nowNs;
    Acquire sent = (Acquire) message(lessee.tick(nowNs));
    nowNs += 100 * NS_PER_MS;
    Acquire repeated = (Acquire) message(lessee.tick(nowNs));

    List<LesseeAction> actions = lessee.onMessage(SECOND, grant(repeated, "b-0", true), nowNs);
    Lease lease = ((LesseeAction.Admitted) actions.getLast()).lease();

    assertThat(repeated.requestNumber(), is(sent.requestNumber()));
    assertThat(lease.expiresAtNs(), is(sentAtNs + 2_500 * NS_PER_MS));
  }

  @Test
  void grantOfCancelledCallGoesBackUnused() {
    Acquire acquire = (Acquire) message(admit(false));
    lessee.cancel(nextCall - 1);

    List<LesseeAction> late = lessee.onMessage(FIRST, grant(acquire, "a-0", true), nowNs);

    assertThat(late, hasSize(1));
    assertThat(((Release) message(late)).report(), is(CallReport.unused()));
  }

  @Test
  void newTermHearsOfLeasesFirstAndIsAskedAnewUnderNewNumbers() {
    Lease lease = admitted(true, "a-0");
    Acquire pending = (Acquire) message(admit(false));

    List<LesseeAction> told = lessee.onMessage(FIRST, new HeldRequest(HOME_POOL), nowNs);
    Held held = (Held) ((LesseeAction.Send) told.getFirst()).message();
    Acquire again = (Acquire) message(told);
    List<LesseeAction> late = lessee.onMessage(FIRST, grant(pending, "a-1", true), nowNs);

    assertThat(held.leases().getFirst().requestNumber(), is(lease.requestNumber()));
    assertThat(held.nextRequestNumber(), greaterThan(pending.requestNumber()));
    assertThat(again.requestNumber(), greaterThan(held.nextRequestNumber()));
    assertThat(message(late), instanceOf(Release.class));
  }

  @Test
  void reportDropsIdleLeasesAndListsCallsThatMayStillRun() {
    Lease idleLease = admitted(true, "a-0");
    Lease cancelled = admitted(true, "a-1");
    callsComeOften();
    assertThat(idle.keep(idleLease, ANSWERED, nowNs), is(true));
    lessee.released(cancelled, new CallReport(CallEnd.CANCELLED, 1), nowNs);

    List<LesseeAction> told = lessee.onMessage(FIRST, new HeldRequest(HOME_POOL), nowNs);
    Held held = (Held) ((LesseeAction.Send) told.getFirst()).message();

    long number = cancelled.requestNumber();
    BackendName backend = cancelled.backend();
    assertThat(held.leases(), is(List.of(new HeldLease(number, backend, 200 * NS_PER_MS, true))));
    assertThat(idle.take(HOME_POOL, Set.of(), nowNs + 1, nowNs), is(Optional.empty()));
  }

  @Test
  void withdrawnLeasesStartNoFurtherCall() {
    Lease unsent = admitted(true, "a-0");
    Lease idleLease = admitted(true, "a-0");
    Lease other = admitted(true, "a-1");
    callsComeOften();
    idle.keep(idleLease, ANSWERED, nowNs);

    BackendName fallen = unsent.backend();
    Release given =
        (Release) message(lessee.onMessage(FIRST, new Withdraw(HOME_POOL, fallen), nowNs));

    assertThat(given.requestNumber(), is(idleLease.requestNumber()));
    assertThat(unsent.mayStart(nowNs), is(false));
    assertThat(idle.keep(unsent, ANSWERED, nowNs), is(false));
    assertThat(other.mayStart(nowNs), is(true));
  }

  private void callsComeOften() {
    for (int i = 0; i < 20; i++) {
      nowNs += NS_PER_MS;
      admit(true);
    }
  }

  @Test
  void callWhoseBrokerIsLostWaitsInAnotherZoneAndLeasesAreReportedOnReconnect() {
    Lease lease = admitted(true, "a-0");
    admit(false);

    Acquire away = (Acquire) message(lessee.onDisconnected(FIRST, nowNs));
    Held held = (Held) message(lessee.onConnected(FIRST, nowNs));

    assertThat(away.pool(), is(AWAY_POOL));
    assertThat(held.leases().getFirst().requestNumber(), is(lease.requestNumber()));
  }

  @Test
  void withoutBrokerOnlyOwnSlotsOfWarmBackendsAreUsed() {
    for (int i = 0; i < 4; i++) {
      Lease lease = admitted(i < 3, "a-" + i);
      lessee.released(lease, ANSWERED, nowNs);
    }
    lessee.onDisconnected(FIRST, nowNs);
    lessee.onDisconnected(SECOND, nowNs);

    List<BackendName> started = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      for (LesseeAction action : admit(true)) {
        if (action instanceof LesseeAction.Admitted(long _, Lease lease)) {
          assertThat(lease.granter(), is(Optional.empty()));
          started.add(lease.backend());
        }
      }
    }
    List<BackendName> owned = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      BackendName name = new BackendName("a-" + i);
      for (int slot = 0; slot < 3; slot++) {
        Member owner =
            BrokerPlacement.fallbackOwner(name, slot, view(1, FIRST, SECOND)).orElseThrow();
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
  void pauseOfTheProcessForbidsEveryLeaseThatSentNoCall() {
    Lease lease = admitted(true, "a-0");

    lessee.afterPause(nowNs);

    assertThat(lease.mayStart(nowNs), is(false));
    assertThat(idle.keep(lease, ANSWERED, nowNs), is(false));
  }

  @Test
  void idleLeaseServesTheNextCallAndIsRecalledByItsBroker() {
    Lease lease = admitted(true, "a-0");
    callsComeOften();
    assertThat(idle.keep(lease, ANSWERED, nowNs), is(true));
    long deadlineNs = nowNs + 500 * NS_PER_MS;
    Set<BackendName> other = Set.of(lease.backend());
    assertThat(idle.take(HOME_POOL, other, deadlineNs, nowNs), is(Optional.empty()));
    assertThat(idle.take(HOME_POOL, Set.of(), deadlineNs, nowNs), is(Optional.of(lease)));

    idle.keep(lease, ANSWERED, nowNs);
    Release given = (Release) message(lessee.onMessage(FIRST, new Recall(HOME_POOL, 1), nowNs));

    assertThat(given.requestNumber(), is(lease.requestNumber()));
    assertThat(idle.take(HOME_POOL, Set.of(), deadlineNs, nowNs), is(Optional.empty()));
    Lease next = admitted(true, "a-1");
    assertThat(idle.keep(next, ANSWERED, nowNs), is(false));
    assertThat(lessee.onMessage(SECOND, new Recall(HOME_POOL, 1), nowNs), is(empty()));
  }
}
