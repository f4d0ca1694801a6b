package org.cowslipstair.logic.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.List;
import java.util.stream.IntStream;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.traffic.GatewayEntry;
import org.junit.jupiter.api.Test;

final class WatcherRolesTest {
  private static final ZoneName ZONE = new ZoneName("a");
  private static final List<GatewayEntry> FLEET =
      IntStream.range(0, 12).mapToObj(WatcherRolesTest::gateway).toList();

  private static GatewayEntry gateway(int i) {
    ZoneName zone = new ZoneName(i % 2 == 0 ? "a" : "b");
    return new GatewayEntry("g-" + i, zone, new HostPort("10.0.0." + i, 80));
  }

  @Test
  void allGatewaysOfAZoneNameTheSameTwo() {
    List<GatewayEntry> expected = new WatcherRoles("g-0", ZONE).watchers(FLEET, 0);
    assertThat(expected, hasSize(2));
    for (GatewayEntry gateway : FLEET.stream().filter(g -> g.zone().equals(ZONE)).toList()) {
      List<GatewayEntry> seen =
          new WatcherRoles(gateway.name(), ZONE).watchers(FLEET.reversed(), 0);
      assertThat(seen, is(expected));
    }
  }

  @Test
  void unreachableWatcherIsPassedOverForAWhile() {
    WatcherRoles roles = new WatcherRoles("g-0", ZONE);
    GatewayEntry first =
        roles.watchers(FLEET, 0).stream().filter(g -> !g.name().equals("g-0")).findFirst().get();
    roles.unreachable(first.name(), 0);
    assertThat(roles.watchers(FLEET, 1), not(hasItem(first)));
    assertThat(roles.watchers(FLEET, 11_000_000_000L), hasItem(first));
  }

  @Test
  void watcherThatSuppliesAgainIsNamedAgainAtOnce() {
    WatcherRoles roles = new WatcherRoles("g-0", ZONE);
    GatewayEntry first =
        roles.watchers(FLEET, 0).stream().filter(g -> !g.name().equals("g-0")).findFirst().get();
    roles.unreachable(first.name(), 0);
    roles.reachable(first.name());
    assertThat(roles.watchers(FLEET, 1), hasItem(first));
  }

  @Test
  void firstChoiceDoesNotDependOnWhoIsPassedOver() {
    List<GatewayEntry> expected = new WatcherRoles("", ZONE).watchers(FLEET, 0);
    for (GatewayEntry gateway : FLEET) {
      WatcherRoles roles = new WatcherRoles(gateway.name(), ZONE);
      FLEET.forEach(other -> roles.unreachable(other.name(), 0));
      assertThat(roles.isFirstChoice(FLEET), is(expected.contains(gateway)));
    }
  }

  @Test
  void lastGatewayThatCanBeReachedWatchesItself() {
    WatcherRoles roles = new WatcherRoles("g-0", ZONE);
    FLEET.forEach(gateway -> roles.unreachable(gateway.name(), 0));
    assertThat(roles.watchers(FLEET, 1), is(List.of(FLEET.getFirst())));
  }
}
