package org.cowslipstair.logic.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import org.cowslipstair.logic.config.RefusedStore.Reason;
import org.cowslipstair.logic.config.SimulatedConfigFleet.Node;
import org.cowslipstair.model.config.StoreId;
import org.cowslipstair.model.config.StoredObject;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.peer.ConfigMessage.ConfigObjects;
import org.junit.jupiter.api.Test;

class ConfigCoreTest {
  private static final StoreId OTHER_STORE = new StoreId("store-b");

  private static SimulatedConfigFleet startFleet() {
    SimulatedConfigFleet fleet = new SimulatedConfigFleet(1);
    fleet.store.write(1, "in");
    fleet.store.write(2, "in");
    for (int i = 0; i < 3; i++) {
      fleet.start(i);
    }
    fleet.run(4_000);
    return fleet;
  }

  private static void assertZoneStates(SimulatedConfigFleet fleet, String expected) {
    fleet.nodes.values().forEach(node -> assertThat(node.stateOf(1), is(expected)));
  }

  @Test
  void gatewayStartedDuringStoreOutageGetsConfigFromPeers() {
    SimulatedConfigFleet fleet = startFleet();
    fleet.isStoreUp = false;
    Node started = fleet.start(9);
    fleet.run(1_000);

    assertThat(started.core.inForce(), is(fleet.node(0).core.inForce()));
    assertThat(started.stateOf(2), is("in"));
  }

  @Test
  void gatewayWithHangingWatchGetsChangesFromPeers() {
    SimulatedConfigFleet fleet = startFleet();
    fleet.node(1).isWatchStuck = true;
    fleet.store.write(1, "out");
    fleet.run(1_000);

    assertZoneStates(fleet, "out");
  }

  @Test
  void storeWithOtherIdIsRefusedUntilAnOperatorAcceptsIt() {
    SimulatedConfigFleet fleet = startFleet();
    InMemoryStore backup = fleet.store.copy("store-b");
    fleet.store.write(1, "out");
    fleet.run(1_000);
    fleet.store = backup;
    fleet.run(25_000);

    assertZoneStates(fleet, "out");
    RefusedStore refused = fleet.node(0).core.status().refusedStore().orElseThrow();
    assertThat(refused, is(new RefusedStore(OTHER_STORE, 2, Reason.OTHER_IDENTITY)));
    Node started = fleet.start(9);
    fleet.run(3_000);
    assertThat(started.stateOf(1), is("out"));

    fleet.apply(fleet.node(2), fleet.node(2).core.acceptStore(OTHER_STORE));
    fleet.run(100);
    fleet.nodes.values().forEach(node -> fleet.apply(node, node.core.acceptStore(OTHER_STORE)));
    fleet.run(3_000);
    assertZoneStates(fleet, "in");
    assertThat(fleet.node(0).core.status().refusedStore(), is(Optional.empty()));
    assertThat(fleet.node(0).events, hasItem(new ConfigEvent.StoreReplaced(OTHER_STORE, 1, 2)));
    fleet.store.write(1, "out again");
    fleet.run(1_000);
    assertZoneStates(fleet, "out again");
  }

  /**
   * Incident 5 in the other data path: a change that is confirmed after the store has come back
   * from a copy was not in force until an operator accepted the store.
   */
  @Test
  void changeAfterTheStoresReturnFromACopyIsInForceWithNobodyWatching() {
    SimulatedConfigFleet fleet = startFleet();
    InMemoryStore copy = fleet.store.copy("store-a");
    fleet.store.write(1, "out");
    fleet.store.write(2, "out");
    fleet.run(1_000);
    fleet.store = copy.returnInPlaceOf(fleet.store);
    fleet.run(1_000);
    assertZoneStates(fleet, "out");
    fleet.store.write(2, "out");
    fleet.store.write(1, "out");
    fleet.store.write(2, "new");
    fleet.run(4_000);
    assertZoneStates(fleet, "out");
    fleet.nodes.values().forEach(node -> assertThat(node.stateOf(2), is("new")));
  }

  /** Only the latest returns are remembered; the others must not be taken for new ones. */
  @Test
  void everyReturnIsReportedOnce() {
    SimulatedConfigFleet fleet = startFleet();
    int returns = 40;
    for (int i = 0; i < returns; i++) {
      fleet.store = fleet.store.copy("store-a").returnInPlaceOf(fleet.store);
      fleet.run(3_000);
    }
    fleet.run(30_000);
    for (Node node : fleet.nodes.values()) {
      long reports =
          node.events.stream().filter(ConfigEvent.StoreReturned.class::isInstance).count();
      assertThat(reports, is((long) returns));
      assertThat(node.core.status().refusedStore().isEmpty(), is(true));
    }
  }

  /**
   * One gateway lags at the return, one starts after it; what the copy lacks is written never
   * again.
   */
  @Test
  void writesThatTheCopyLacksReachAllGatewaysAndStayInForce() {
    SimulatedConfigFleet fleet = startFleet();
    fleet.store.write(3, "in");
    fleet.run(1_000);
    InMemoryStore copy = fleet.store.copy("store-a");
    fleet.node(2).isCutOff = true;
    fleet.node(2).isWatchStuck = true;
    fleet.store.write(1, "out");
    fleet.store.write(7, "new");
    fleet.store.delete(3);
    fleet.run(1_000);
    fleet.store = copy.returnInPlaceOf(fleet.store);
    fleet.run(1_000);
    fleet.node(2).isCutOff = false;
    fleet.node(2).isWatchStuck = false;
    fleet.start(9);
    fleet.run(30_000);
    fleet.store.write(2, "later");
    fleet.run(4_000);
    for (Node node : fleet.nodes.values()) {
      assertThat(node.stateOf(1), is("out"));
      assertThat(node.stateOf(7), is("new"));
      assertThat(node.stateOf(3), is("absent"));
      assertThat(node.stateOf(2), is("later"));
    }
  }

  @Test
  void storeRestoredFromBackupWithSameIdIsRefusedUntilAccepted() {
    SimulatedConfigFleet fleet = startFleet();
    InMemoryStore backup = fleet.store.copy("store-a");
    fleet.store.write(1, "out");
    fleet.store.write(2, "out");
    fleet.run(1_000);
    fleet.store = backup;
    fleet.run(25_000);
    assertZoneStates(fleet, "out");
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
    assertZoneStates(fleet, "in");
    assertThat(fleet.node(0).stateOf(2), is("new"));
  }

  @Test
  void lastValidVersionStaysInForceAndReachesNewGateways() {
    SimulatedConfigFleet fleet = startFleet();
    StoredObject invalid = fleet.store.write(1, "bad");
    fleet.run(1_000);
    assertZoneStates(fleet, "in");
    assertThat(
        fleet.node(0).core.status().invalidObjects(),
        is(
            List.of(
                new ConfigEvent.ObjectInvalid(invalid.key(), invalid.version(), "state is bad"))));

    Node started = fleet.start(9);
    fleet.run(6_000);
    assertThat(started.stateOf(1), is("in"));

    fleet.store.write(1, "out");
    fleet.run(1_000);
    assertZoneStates(fleet, "out");
  }

  @Test
  void objectsAfterGapComeIntoForceWithoutAdvancingTheRevision() {
    SimulatedConfigFleet fleet = startFleet();
    Node node = fleet.node(0);
    fleet.isStoreUp = false;
    fleet.store.write(2, "out");
    StoredObject last = fleet.store.write(1, "out");

    ConfigObjects afterGap =
        new ConfigObjects(fleet.store.id, 0, 3, 4, 0, 1, List.of(), List.of(last));
    fleet.apply(node, node.core.onMessage(new GatewayName("gw-1"), afterGap, 0));

    assertThat(node.stateOf(1), is("out"));
    assertThat(node.core.inForce().revision(), is(2L));
  }

  @Test
  void partsFromDifferentStoresAreNotCombined() {
    SimulatedConfigFleet fleet = startFleet();
    Node node = fleet.node(0);
    GatewayName peer = new GatewayName("gw-1");
    StoredObject object = fleet.store.write(1, "out");
    StoredObject foreign = new StoredObject(InMemoryStore.key(3), 4, "x", false, "in");

    node.core.onMessage(
        peer, new ConfigObjects(OTHER_STORE, 1, 0, 4, 0, 2, List.of(), List.of(foreign)), 0);
    ConfigObjects second =
        new ConfigObjects(fleet.store.id, 0, 0, 4, 1, 2, List.of(), List.of(object));
    List<ConfigAction> actions = node.core.onMessage(peer, second, 0);

    assertThat(actions.isEmpty(), is(true));
    assertThat(node.stateOf(3), is("absent"));
  }

  @Test
  void largeResponsesAreSplitAndReassembled() {
    SimulatedConfigFleet fleet = new SimulatedConfigFleet(1);
    for (int zone = 0; zone < 40; zone++) {
      fleet.store.write(zone, "x".repeat(30_000));
    }
    fleet.start(0);
    fleet.run(1_000);
    fleet.isStoreUp = false;
    Node started = fleet.start(1);
    fleet.run(1_000);

    assertThat(started.snapshot.zones().size(), is(40));
    assertThat(started.events, is(List.of()));
  }
}
