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

final class WatcherSelectorTest {
  private static final ZoneName ZONE = new ZoneName("a");
  private static final List<GatewayEntry> GATEWAYS =
      IntStream.range(0, 12).mapToObj(WatcherSelectorTest::gateway).toList();

  private static GatewayEntry gateway(int i) {
    ZoneName zone = new ZoneName(i % 2 == 0 ? "a" : "b");
    return new GatewayEntry("g-" + i, zone, new HostPort("10.0.0." + i, 80));
  }

  @Test
  void allGatewaysOfAZoneSelectTheSameTwoWatchers() {
    List<GatewayEntry> expected = new WatcherSelector("g-0", ZONE).watchers(GATEWAYS, 0);
    assertThat(expected, hasSize(2));
    for (GatewayEntry gateway : GATEWAYS.stream().filter(g -> g.zone().equals(ZONE)).toList()) {
      List<GatewayEntry> selected =
          new WatcherSelector(gateway.name(), ZONE).watchers(GATEWAYS.reversed(), 0);
      assertThat(selected, is(expected));
    }
  }

  @Test
  void unreachableWatcherIsSkippedForAWhile() {
    WatcherSelector selector = new WatcherSelector("g-0", ZONE);
    GatewayEntry first =
        selector.watchers(GATEWAYS, 0).stream()
            .filter(g -> !g.name().equals("g-0"))
            .findFirst()
            .get();
    selector.markUnreachable(first.name(), 0);
    assertThat(selector.watchers(GATEWAYS, 1), not(hasItem(first)));
    assertThat(selector.watchers(GATEWAYS, 11_000_000_000L), hasItem(first));
  }

  @Test
  void reachableWatcherIsSelectedAgainAtOnce() {
    WatcherSelector selector = new WatcherSelector("g-0", ZONE);
    GatewayEntry first =
        selector.watchers(GATEWAYS, 0).stream()
            .filter(g -> !g.name().equals("g-0"))
            .findFirst()
            .get();
    selector.markUnreachable(first.name(), 0);
    selector.markReachable(first.name());
    assertThat(selector.watchers(GATEWAYS, 1), hasItem(first));
  }

  @Test
  void preferredWatchersDoNotDependOnSkippedGateways() {
    List<GatewayEntry> expected = new WatcherSelector("", ZONE).watchers(GATEWAYS, 0);
    for (GatewayEntry gateway : GATEWAYS) {
      WatcherSelector selector = new WatcherSelector(gateway.name(), ZONE);
      GATEWAYS.forEach(other -> selector.markUnreachable(other.name(), 0));
      assertThat(selector.isPreferredWatcher(GATEWAYS), is(expected.contains(gateway)));
    }
  }

  @Test
  void gatewayWatchesTheStoreIfAllOthersAreUnreachable() {
    WatcherSelector selector = new WatcherSelector("g-0", ZONE);
    GATEWAYS.forEach(gateway -> selector.markUnreachable(gateway.name(), 0));
    assertThat(selector.watchers(GATEWAYS, 1), is(List.of(GATEWAYS.getFirst())));
  }
}
