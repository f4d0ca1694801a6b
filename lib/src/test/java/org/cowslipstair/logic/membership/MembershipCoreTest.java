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
import org.cowslipstair.logic.membership.FleetChannel.Node;
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
  private static final Member SELF = FleetChannel.member(0, 5);

  private static Heartbeat heartbeat(Member sender, long sequence) {
    return new Heartbeat(sequence, sender, 250, ConfigVersion.none(), 60_000, List.of());
  }

  private static MembershipCore newCore() {
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

  private static FleetChannel fleetOf(int size) {
    FleetChannel channel = new FleetChannel(1);
    for (int i = 0; i < size; i++) {
      channel.start(i, 1);
    }
    channel.list();
    channel.run(3_000);
    return channel;
  }

  @Test
  void lowerSequenceIsRefusedAndReported() {
    MembershipCore core = newCore();
    Member peer = FleetChannel.member(1, 3);
    core.onConnected(peer.id(), 0);
    core.onMessage(peer.id(), heartbeat(peer, 9), 0);
    Member leaving = new Member(peer.id(), peer.zone(), peer.peerAddress(), MemberState.LEAVING);

    List<MembershipEvent> events = events(core.onMessage(peer.id(), heartbeat(leaving, 8), 0));

    assertThat(events, is(List.of(new MembershipEvent.StaleSequence(peer.id(), 8, 9))));
    assertThat(core.view().member(peer.id().name()).orElseThrow().state(), is(MemberState.LIVE));
  }

  @Test
  void olderProcessOfSameNameIsToldAndReportedWithBothAddressesWhileItKeepsSending() {
    MembershipCore core = newCore();
    Member newer = FleetChannel.member(1, 3);
    Member older =
        new Member(
            new GatewayId(newer.id().name(), 2),
            newer.zone(),
            new HostPort("10.9.9.9", 1),
            MemberState.LIVE);
    core.onConnected(newer.id(), 0);
    core.onMessage(newer.id(), heartbeat(newer, 1), 0);

    List<MembershipAction> answer = core.onConnected(older.id(), 1);
    List<MembershipEvent> early = events(core.onMessage(older.id(), heartbeat(older, 1), 2));
    long laterNs = TimeUnit.SECONDS.toNanos(6);
    List<MembershipEvent> late = events(core.onMessage(older.id(), heartbeat(older, 2), laterNs));

    assertThat(
        answer, hasItem(new MembershipAction.Send(older.id().name(), new Superseded(newer))));
    assertThat(early, is(List.of(new MembershipEvent.StaleIncarnation(older.id(), newer.id()))));
    assertThat(
        late,
        hasItem(
            new MembershipEvent.NameConflict(
                newer.id().name(), newer.peerAddress(), older.peerAddress())));
    assertThat(core.view().member(newer.id().name()).orElseThrow(), is(newer));
  }

  @Test
  void ofTwoPeersThatJoinAtOnceTheSecondIsToldOfTheFirst() {
    MembershipCore core = newCore();
    Member one = FleetChannel.member(1, 1);
    Member two = FleetChannel.member(2, 1);
    core.onConnected(one.id(), 0);
    core.onConnected(two.id(), 0);
    core.onMessage(two.id(), heartbeat(two, 1), 0);

    List<MembershipAction> actions = core.onMessage(one.id(), heartbeat(one, 1), 0);

    Roster roster = new Roster(List.of(SELF, one, two));
    assertThat(actions, hasItem(new MembershipAction.Send(one.id().name(), roster)));
  }

  @Test
  void processThatIsSupersededTakesNoWork() {
    MembershipCore core = newCore();
    Member other =
        new Member(
            new GatewayId(SELF.id().name(), 6),
            SELF.zone(),
            new HostPort("10.9.9.9", 1),
            MemberState.LIVE);

    List<MembershipEvent> events = events(core.onNamesake(other, 1));

    assertThat(
        events,
        hasItem(
            new MembershipEvent.NameConflict(
                SELF.id().name(), SELF.peerAddress(), other.peerAddress())));
    assertThat(core.view().isolated(), is(true));
  }

  @Test
  void minorityWithoutStoreIsIsolatedMajorityIsNotAndBothRejoin() {
    FleetChannel channel = fleetOf(5);
    channel.storeUp = false;
    channel.node(0).side = 1;
    channel.node(1).side = 1;

    channel.run(6_000);
    assertThat(channel.node(0).core.view().isolated(), is(true));
    assertThat(channel.node(2).core.view().isolated(), is(false));

    channel.nodes.values().forEach(node -> node.side = 0);
    channel.run(3_000);
    assertThat(channel.node(0).core.view().isolated(), is(false));
    assertThat(channel.node(0).core.view().members().size(), is(5));
  }

  @Test
  void storeOutageAloneIsolatesNobodyAndStoreAloneKeepsEachSideOfASplitServing() {
    FleetChannel channel = fleetOf(6);
    channel.storeUp = false;
    channel.run(10_000);
    assertNobodyIsolated(channel);

    channel.storeUp = true;
    for (int i = 0; i < 3; i++) {
      channel.node(i).side = 1;
    }
    channel.run(10_000);
    assertNobodyIsolated(channel);

    channel.storeUp = false;
    channel.run(4_000);
    for (Node node : channel.nodes.values()) {
      assertThat(node.core.view().isolated(), is(true));
    }
  }

  private static void assertNobodyIsolated(FleetChannel channel) {
    for (Node node : channel.nodes.values()) {
      assertThat(node.events, not(hasItem(instanceOf(MembershipEvent.Isolated.class))));
    }
  }

  @Test
  void pausedProcessNoticesItByItselfAndIsIsolatedUntilHeardAgain() {
    FleetChannel channel = fleetOf(3);
    channel.storeUp = false;
    Node paused = channel.node(1);
    paused.pausedUntilNs = channel.nowNs + TimeUnit.SECONDS.toNanos(5);
    channel.run(4_900);
    assertThat(channel.node(0).core.view().members().size(), is(2));
    channel.run(2_000);

    assertThat(paused.events, hasItem(instanceOf(MembershipEvent.Paused.class)));
    assertThat(paused.events, hasItem(instanceOf(MembershipEvent.Isolated.class)));
    assertThat(paused.events, not(hasItem(instanceOf(MembershipEvent.Died.class))));
    assertThat(paused.core.view().isolated(), is(false));
    assertThat(channel.node(0).core.view().members().size(), is(3));
  }

  @Test
  void plannedStopIsAnnouncedAndLeavesAtOnceWhenTheConnectionCloses() {
    FleetChannel channel = fleetOf(3);
    Node leaving = channel.node(2);
    channel.lossPercent = 0;
    channel.apply(leaving, leaving.core.leave(channel.nowNs));
    channel.run(200);
    FleetView view = channel.node(0).core.view();
    assertThat(view.member(new GatewayName("gw-2")).orElseThrow().state(), is(MemberState.LEAVING));
    assertThat(view.liveMembers().size(), is(2));

    channel.crash(leaving, false);
    channel.run(400);
    assertThat(channel.node(0).events, hasItem(new MembershipEvent.Left(leaving.self.id())));
    assertThat(channel.node(0).core.view().members().size(), is(2));
  }

  @Test
  void intervalStretchesWithTheFleetToHoldTheBudget() {
    MembershipSettings settings = MembershipSettings.defaults();

    assertThat(settings.intervalNs(5), is(TimeUnit.MILLISECONDS.toNanos(250)));
    assertThat(settings.intervalNs(63), is(TimeUnit.MILLISECONDS.toNanos(2_520)));
  }
}
