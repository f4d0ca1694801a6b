package org.cowslipstair.logic.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.logic.membership.SimulatedFleet.Node;
import org.cowslipstair.model.config.ConfigVersion;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.model.fleet.MemberState;
import org.cowslipstair.model.peer.MembershipMessage.Heartbeat;
import org.cowslipstair.model.peer.MembershipMessage.Roster;
import org.cowslipstair.model.peer.MembershipMessage.Superseded;
import org.junit.jupiter.api.Test;

class MembershipCoreTest {
  private static final Member SELF = SimulatedFleet.member(0, 5);

  private static Heartbeat heartbeat(Member sender, long sequence) {
    return new Heartbeat(sequence, sender, 250, ConfigVersion.none(), 60_000, List.of());
  }

  private static MembershipCore createCore() {
    return new MembershipCore(MembershipSettings.defaults(), SELF, InvariantMonitor.failing(), 0);
  }

  private static List<MembershipEvent> events(List<MembershipAction> actions) {
    List<MembershipEvent> events = new ArrayList<>();
    for (MembershipAction action : actions) {
      if (action instanceof MembershipAction.Report(MembershipEvent event)) {
        events.add(event);
      }
    }
    return events;
  }

  private static SimulatedFleet startFleet(int size) {
    SimulatedFleet fleet = new SimulatedFleet(1);
    for (int i = 0; i < size; i++) {
      fleet.start(i, 1);
    }
    fleet.publishInstanceList();
    fleet.run(3_000);
    return fleet;
  }

  @Test
  void heartbeatWithLowerSequenceIsRejectedAndReported() {
    MembershipCore core = createCore();
    Member peer = SimulatedFleet.member(1, 3);
    core.onConnected(peer.id(), 0);
    core.onMessage(peer.id(), heartbeat(peer, 9), 0);
    Member leaving = new Member(peer.id(), peer.zone(), peer.peerAddress(), MemberState.LEAVING);

    List<MembershipEvent> events = events(core.onMessage(peer.id(), heartbeat(leaving, 8), 0));

    assertThat(events, is(List.of(new MembershipEvent.StaleSequence(peer.id(), 8, 9))));
    assertThat(core.view().member(peer.id().name()).orElseThrow().state(), is(MemberState.LIVE));
  }

  @Test
  void olderProcessWithSameNameIsNotifiedAndReportedWhileItKeepsSending() {
    MembershipCore core = createCore();
    Member newer = SimulatedFleet.member(1, 3);
    Member older =
        new Member(
            new GatewayId(newer.id().name(), 2),
            newer.zone(),
            new HostPort("10.9.9.9", 1),
            MemberState.LIVE);
    core.onConnected(newer.id(), 0);
    core.onMessage(newer.id(), heartbeat(newer, 1), 0);

    List<MembershipAction> reply = core.onConnected(older.id(), 1);
    List<MembershipEvent> earlyEvents = events(core.onMessage(older.id(), heartbeat(older, 1), 2));
    long laterNs = TimeUnit.SECONDS.toNanos(6);
    List<MembershipEvent> lateEvents =
        events(core.onMessage(older.id(), heartbeat(older, 2), laterNs));

    assertThat(reply, hasItem(new MembershipAction.Send(older.id().name(), new Superseded(newer))));
    assertThat(
        earlyEvents, is(List.of(new MembershipEvent.StaleIncarnation(older.id(), newer.id()))));
    assertThat(
        lateEvents,
        hasItem(
            new MembershipEvent.NameConflict(
                newer.id().name(), newer.peerAddress(), older.peerAddress())));
    assertThat(core.view().member(newer.id().name()).orElseThrow(), is(newer));
  }

  @Test
  void peerThatJoinsReceivesRosterWithPeersThatJoinedBefore() {
    MembershipCore core = createCore();
    Member later = SimulatedFleet.member(1, 1);
    Member earlier = SimulatedFleet.member(2, 1);
    core.onConnected(later.id(), 0);
    core.onConnected(earlier.id(), 0);
    core.onMessage(earlier.id(), heartbeat(earlier, 1), 0);

    List<MembershipAction> actions = core.onMessage(later.id(), heartbeat(later, 1), 0);

    Roster roster = new Roster(List.of(SELF, later, earlier));
    assertThat(actions, hasItem(new MembershipAction.Send(later.id().name(), roster)));
  }

  @Test
  void supersededProcessRefusesWork() {
    MembershipCore core = createCore();
    Member other =
        new Member(
            new GatewayId(SELF.id().name(), 6),
            SELF.zone(),
            new HostPort("10.9.9.9", 1),
            MemberState.LIVE);

    List<MembershipEvent> events = events(core.onDuplicateName(other, 1));

    assertThat(
        events,
        hasItem(
            new MembershipEvent.NameConflict(
                SELF.id().name(), SELF.peerAddress(), other.peerAddress())));
    assertThat(core.view().refusesNewWork(), is(true));
  }

  @Test
  void onlyMinorityWithoutStoreIsIsolatedAndRejoinsAfterPartition() {
    SimulatedFleet fleet = startFleet(5);
    fleet.isStoreUp = false;
    fleet.node(0).partition = 1;
    fleet.node(1).partition = 1;

    fleet.run(6_000);
    assertThat(fleet.node(0).core.view().refusesNewWork(), is(true));
    assertThat(fleet.node(2).core.view().refusesNewWork(), is(false));

    fleet.nodes.values().forEach(node -> node.partition = 0);
    fleet.run(3_000);
    assertThat(fleet.node(0).core.view().refusesNewWork(), is(false));
    assertThat(fleet.node(0).core.view().members().size(), is(5));
  }

  @Test
  void storeOutageOrPartitionAloneIsolatesNobodyButBothIsolateAll() {
    SimulatedFleet fleet = startFleet(6);
    fleet.isStoreUp = false;
    fleet.run(10_000);
    assertNobodyIsolated(fleet);

    fleet.isStoreUp = true;
    for (int i = 0; i < 3; i++) {
      fleet.node(i).partition = 1;
    }
    fleet.run(10_000);
    assertNobodyIsolated(fleet);

    fleet.isStoreUp = false;
    fleet.run(4_000);
    for (Node node : fleet.nodes.values()) {
      assertThat(node.core.view().refusesNewWork(), is(true));
    }
  }

  private static void assertNobodyIsolated(SimulatedFleet fleet) {
    for (Node node : fleet.nodes.values()) {
      assertThat(node.events, not(hasItem(instanceOf(MembershipEvent.Isolated.class))));
    }
  }

  @Test
  void pausedProcessDetectsPauseAndIsIsolatedUntilContactResumes() {
    SimulatedFleet fleet = startFleet(3);
    fleet.isStoreUp = false;
    Node paused = fleet.node(1);
    paused.pausedUntilNs = fleet.nowNs + TimeUnit.SECONDS.toNanos(5);
    fleet.run(4_900);
    assertThat(fleet.node(0).core.view().members().size(), is(2));
    fleet.run(2_000);

    assertThat(paused.events, hasItem(instanceOf(MembershipEvent.Paused.class)));
    assertThat(paused.events, hasItem(instanceOf(MembershipEvent.Isolated.class)));
    assertThat(paused.events, not(hasItem(instanceOf(MembershipEvent.Died.class))));
    assertThat(paused.core.view().refusesNewWork(), is(false));
    assertThat(fleet.node(0).core.view().members().size(), is(3));
  }

  @Test
  void leavingMemberIsRemovedAsSoonAsItsConnectionCloses() {
    SimulatedFleet fleet = startFleet(3);
    Node leaving = fleet.node(2);
    fleet.lossPercent = 0;
    fleet.apply(leaving, leaving.core.leave(fleet.nowNs));
    fleet.run(200);
    FleetView view = fleet.node(0).core.view();
    assertThat(view.member(new GatewayName("gw-2")).orElseThrow().state(), is(MemberState.LEAVING));
    assertThat(view.liveMembers().size(), is(2));

    fleet.crash(leaving, false);
    fleet.run(400);
    assertThat(fleet.node(0).events, hasItem(new MembershipEvent.Left(leaving.self.id())));
    assertThat(fleet.node(0).core.view().members().size(), is(2));
  }

  @Test
  void heartbeatIntervalGrowsWithTheNumberOfPeers() {
    MembershipSettings settings = MembershipSettings.defaults();

    assertThat(settings.heartbeatIntervalNs(5), is(TimeUnit.MILLISECONDS.toNanos(250)));
    assertThat(settings.heartbeatIntervalNs(63), is(TimeUnit.MILLISECONDS.toNanos(2_520)));
  }
}
