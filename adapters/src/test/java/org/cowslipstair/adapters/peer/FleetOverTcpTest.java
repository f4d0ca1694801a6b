package org.cowslipstair.adapters.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.cowslipstair.logic.config.ConfigBatch;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.ObjectKind;
import org.cowslipstair.model.config.StoreId;
import org.cowslipstair.model.config.StoredObject;
import org.cowslipstair.model.config.Zone;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.fleet.InstanceEntry;
import org.cowslipstair.model.fleet.MemberState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Runs gateways with real connections and no store. */
class FleetOverTcpTest {
  private static final StoreId STORE = new StoreId("store-a");
  private static final ZoneName ZONE = new ZoneName("tz-north-a");
  private static final long TICK_MS = 5;

  private final List<PeeringGateway> running = new ArrayList<>();

  private PeeringGateway start(String name, long incarnation) throws Exception {
    PeeringGateway gateway = new PeeringGateway(name, incarnation);
    List<InstanceEntry> seeds = new ArrayList<>();
    if (!running.isEmpty()) {
      seeds.add(TcpPeerTransportTest.entryOf(running.getFirst().transport));
    }
    running.add(gateway);
    gateway.start(seeds, TICK_MS);
    return gateway;
  }

  private void awaitAll(String what, Predicate<PeeringGateway> condition)
      throws InterruptedException {
    for (PeeringGateway gateway : running) {
      await(what, () -> condition.test(gateway));
    }
  }

  private static void await(String what, BooleanSupplier condition) throws InterruptedException {
    long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (!condition.getAsBoolean()) {
      assertThat(what, System.nanoTime() < deadlineNs, is(true));
      Thread.sleep(5);
    }
  }

  private static ConfigBatch batch(long afterRevision, long revision, String state) {
    ObjectKey key = new ObjectKey(ObjectKind.ZONE, ZONE.value());
    StoredObject zone = new StoredObject(key, revision, "c" + revision, false, state);
    return new ConfigBatch(STORE, afterRevision, revision, List.of(zone));
  }

  private static boolean isOut(PeeringGateway gateway) {
    return gateway.config.snapshot().zone(ZONE).filter(Zone::isOut).isPresent();
  }

  @AfterEach
  void closeAll() {
    running.forEach(PeeringGateway::close);
  }

  @Test
  void oneSeedIsEnoughToMeetAllAndOneGatewayThatSawAChangePassesItOn() throws Exception {
    for (int i = 0; i < 4; i++) {
      start("gw-" + i, 1);
    }
    awaitAll("join", gateway -> gateway.size() == 4);
    running.get(2).takeStore(batch(0, 1, "in"));
    awaitAll("first configuration", gateway -> gateway.config.versionInForce().revision() == 1);
    running.get(3).takeStore(batch(1, 2, "out"));
    awaitAll("zone out", FleetOverTcpTest::isOut);

    PeeringGateway born = start("gw-9", 1);
    await("newborn", () -> born.size() == 5 && isOut(born));
    awaitAll("same view", gateway -> gateway.size() == 5);
    for (PeeringGateway gateway : running) {
      assertThat(
          gateway.membership.view().members(), is(running.getFirst().membership.view().members()));
    }
  }

  @Test
  void restartTakesThePlaceOfTheOldProcessAndAPlannedStopIsSeenBeforeItEnds() throws Exception {
    PeeringGateway first = start("gw-0", 1);
    start("gw-1", 1);
    PeeringGateway old = start("gw-2", 1);
    awaitAll("join", gateway -> gateway.size() == 3);

    running.remove(old);
    old.close();
    PeeringGateway fresh = start("gw-2", 2);
    await(
        "new process",
        () ->
            first.membership.view().members().stream()
                .anyMatch(member -> member.id().equals(fresh.transport.self().id())));

    fresh.loop.execute(fresh.membership::leave);
    await(
        "announcement",
        () ->
            first
                .membership
                .view()
                .member(fresh.transport.self().id().name())
                .filter(member -> member.state() == MemberState.LEAVING)
                .isPresent());
    running.remove(fresh);
    fresh.close();
    awaitAll("end", gateway -> gateway.size() == 2);
  }
}
