package org.cowslipstair.logic.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import org.cowslipstair.logic.config.ConfigFleet.Node;
import org.cowslipstair.logic.config.RefusedStore.Reason;
import org.cowslipstair.model.config.StoreId;
import org.cowslipstair.model.config.StoredObject;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.peer.ConfigMessage.ConfigObjects;
import org.junit.jupiter.api.Test;

class ConfigCoreTest {
  private static final StoreId OTHER = new StoreId("store-b");

  private static ConfigFleet fleet() {
    ConfigFleet fleet = new ConfigFleet(1);
    fleet.store.write(1, "in");
    fleet.store.write(2, "in");
    for (int i = 0; i < 3; i++) {
      fleet.start(i);
    }
    fleet.run(4_000);
    return fleet;
  }

  private static void assertStates(ConfigFleet fleet, String wanted) {
    fleet.nodes.values().forEach(node -> assertThat(node.stateOf(1), is(wanted)));
  }

  @Test
  void gatewayBornDuringAnOutageGetsEverythingFromPeers() {
    ConfigFleet fleet = fleet();
    fleet.storeUp = false;
    Node born = fleet.start(9);
    fleet.run(1_000);

    assertThat(born.core.inForce(), is(fleet.node(0).core.inForce()));
    assertThat(born.stateOf(2), is("in"));
  }

  @Test
  void stuckWatchIsHealedByPeers() {
    ConfigFleet fleet = fleet();
    fleet.node(1).isWatchStuck = true;
    fleet.store.write(1, "out");
    fleet.run(1_000);

    assertStates(fleet, "out");
  }

  @Test
  void storeOfAnotherIdentityIsRefusedAndShownUntilOneGatewayIsToldToAcceptIt() {
    ConfigFleet fleet = fleet();
    FakeStoreState backup = fleet.store.copy("store-b");
    fleet.store.write(1, "out");
    fleet.run(1_000);
    fleet.store = backup;
    fleet.run(25_000);

    assertStates(fleet, "out");
    RefusedStore refused = fleet.node(0).core.status().refusedStore().orElseThrow();
    assertThat(refused, is(new RefusedStore(OTHER, 2, Reason.OTHER_IDENTITY)));
    Node born = fleet.start(9);
    fleet.run(3_000);
    assertThat(born.stateOf(1), is("out"));

    fleet.apply(fleet.node(2), fleet.node(2).core.acceptStore(OTHER));
    fleet.run(100);
    fleet.nodes.values().forEach(node -> fleet.apply(node, node.core.acceptStore(OTHER)));
    fleet.run(3_000);
    assertStates(fleet, "in");
    assertThat(fleet.node(0).core.status().refusedStore(), is(Optional.empty()));
    assertThat(fleet.node(0).events, hasItem(new ConfigEvent.StoreReplaced(OTHER, 1, 2)));
    fleet.store.write(1, "out again");
    fleet.run(1_000);
    assertStates(fleet, "out again");
  }

  @Test
  void storeThatWentBackUnderItsOwnIdentityIsRefusedUntilAccepted() {
    ConfigFleet fleet = fleet();
    FakeStoreState backup = fleet.store.copy("store-a");
    fleet.store.write(1, "out");
    fleet.store.write(2, "out");
    fleet.run(1_000);
    fleet.store = backup;
    fleet.run(25_000);
    assertStates(fleet, "out");
    assertThat(
        fleet.node(1).core.status().refusedStore().orElseThrow().reason(),
        is(Reason.OLDER_REVISION));

    fleet.store.write(2, "new");
    fleet.store.write(2, "new");
    fleet.store.write(2, "new");
    fleet.run(3_000);
    assertThat(fleet.node(1).stateOf(2), is("out"));
    assertThat(
        fleet.node(1).core.status().refusedStore().orElseThrow().reason(),
        is(Reason.OTHER_HISTORY));

    fleet.apply(fleet.node(1), fleet.node(1).core.acceptStore(fleet.store.id));
    fleet.run(3_000);
    assertStates(fleet, "in");
    assertThat(fleet.node(0).stateOf(2), is("new"));
  }

  @Test
  void invalidObjectKeepsTheLastGoodOneAndNewGatewaysGetThatFromPeers() {
    ConfigFleet fleet = fleet();
    StoredObject invalid = fleet.store.write(1, "bad");
    fleet.run(1_000);
    assertStates(fleet, "in");
    assertThat(
        fleet.node(0).core.status().invalidObjects(),
        is(
            List.of(
                new ConfigEvent.ObjectInvalid(invalid.key(), invalid.version(), "state is bad"))));

    Node born = fleet.start(9);
    fleet.run(6_000);
    assertThat(born.stateOf(1), is("in"));

    fleet.store.write(1, "out");
    fleet.run(1_000);
    assertStates(fleet, "out");
  }

  @Test
  void objectsAfterAGapComeIntoForceButDoNotRaiseTheRevision() {
    ConfigFleet fleet = fleet();
    Node node = fleet.node(0);
    fleet.storeUp = false;
    fleet.store.write(2, "out");
    StoredObject last = fleet.store.write(1, "out");

    ConfigObjects gap = new ConfigObjects(fleet.store.id, 0, 3, 4, 0, 1, List.of(last));
    fleet.apply(node, node.core.onMessage(new GatewayName("gw-1"), gap, 0));

    assertThat(node.stateOf(1), is("out"));
    assertThat(node.core.inForce().revision(), is(2L));
  }

  @Test
  void partsOfTwoStoresAreNeverJoined() {
    ConfigFleet fleet = fleet();
    Node node = fleet.node(0);
    GatewayName peer = new GatewayName("gw-1");
    StoredObject object = fleet.store.write(1, "out");
    StoredObject foreign = new StoredObject(FakeStoreState.key(3), 4, "x", false, "in");

    node.core.onMessage(peer, new ConfigObjects(OTHER, 1, 0, 4, 0, 2, List.of(foreign)), 0);
    ConfigObjects second = new ConfigObjects(fleet.store.id, 0, 0, 4, 1, 2, List.of(object));
    List<ConfigAction> actions = node.core.onMessage(peer, second, 0);

    assertThat(actions.isEmpty(), is(true));
    assertThat(node.stateOf(3), is("absent"));
  }

  @Test
  void largeAnswersAreSplitAndJoined() {
    ConfigFleet fleet = new ConfigFleet(1);
    for (int zone = 0; zone < 40; zone++) {
      fleet.store.write(zone, "x".repeat(30_000));
    }
    fleet.start(0);
    fleet.run(1_000);
    fleet.storeUp = false;
    Node born = fleet.start(1);
    fleet.run(1_000);

    assertThat(born.snapshot.zones().size(), is(40));
    assertThat(born.events, is(List.of()));
  }
}
