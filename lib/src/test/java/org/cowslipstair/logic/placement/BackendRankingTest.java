package org.cowslipstair.logic.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.traffic.BackendInstance;
import org.cowslipstair.model.traffic.LoadReport;
import org.junit.jupiter.api.Test;

/** Ranks backend servers by their observed load and failures, and orders them for probing. */
final class BackendRankingTest {
  private static final long SECOND_NS = 1_000_000_000L;
  private static final ZoneName LOCAL_ZONE = new ZoneName("home");

  private static BackendStats stats(String name, String zone) {
    BackendInstance instance =
        new BackendInstance(
            new BackendName(name),
            new ServiceName("s"),
            new HostPort("10.0.0.1", 80),
            new ZoneName(zone),
            3,
            false,
            0,
            1,
            1);
    return new BackendStats(instance, 0);
  }

  private static LatencyEstimate estimate(
      BackendStats stats, int running, int waiting, double slowdownFactor) {
    return LatencyEstimate.fromReport(
        new LoadReport(running, waiting, 3, slowdownFactor), stats, 0, SECOND_NS);
  }

  @Test
  void slowPaceAndQueuedRequestsIncreaseTheEstimate() {
    BackendStats stats = stats("b", LOCAL_ZONE.value());
    LatencyEstimate idle = estimate(stats, 0, 0, 1);
    assertThat(idle.total(), closeTo(1, 0.001));
    assertThat(estimate(stats, 0, 0, 5).total(), greaterThan(idle.total()));
    assertThat(estimate(stats, 2, 0, 1).total(), greaterThan(idle.total()));
    assertThat(estimate(stats, 3, 1, 1).total(), greaterThan(estimate(stats, 3, 0, 1).total()));
    assertThat(estimate(stats, 3, 3, 1).canQueue(), is(false));
  }

  @Test
  void estimateWithoutProbeUsesTheLastReportWhileItIsRecent() {
    BackendStats stats = stats("b", LOCAL_ZONE.value());
    stats.recordLoadReport(new LoadReport(2, 0, 3, 1), SECOND_NS);
    long soonAfterNs = SECOND_NS + SECOND_NS / 10;
    assertThat(LatencyEstimate.withoutProbe(stats, 0, soonAfterNs).hasFreeSlot(), is(true));
    stats.recordRequestStart();
    assertThat(LatencyEstimate.withoutProbe(stats, 0, soonAfterNs).hasFreeSlot(), is(false));
    stats.recordLoadReport(new LoadReport(3, 4, 3, 1), soonAfterNs);
    assertThat(LatencyEstimate.withoutProbe(stats, 0, soonAfterNs).canQueue(), is(false));
    assertThat(
        LatencyEstimate.withoutProbe(stats, 0, soonAfterNs + SECOND_NS).canQueue(), is(true));
  }

  @Test
  void failuresIncreaseTheScoreButNotTheTotalTimeAndDecay() {
    BackendStats stats = stats("b", LOCAL_ZONE.value());
    stats.recordOutcome(false, SECOND_NS);
    LatencyEstimate failed = estimate(stats, 0, 0, 1);
    assertThat(failed.total(), closeTo(1, 0.001));
    assertThat(failed.score(), greaterThan(2.0));
    assertThat(stats.failureShare(30 * SECOND_NS), lessThan(0.001));
  }

  /** All servers of a service shed half of what they get, seen on scale-1 of two deployments. */
  @Test
  void failuresThatAllBackendsOfAServiceShareDoNotIncreaseTheScore() {
    BackendStats stats = stats("b", LOCAL_ZONE.value());
    stats.recordOutcome(false, SECOND_NS);
    LoadReport idle = new LoadReport(0, 0, 3, 1);
    LatencyEstimate shared = LatencyEstimate.fromReport(idle, stats, 0.5, SECOND_NS);
    assertThat(shared.score(), closeTo(1, 0.001));
    assertThat(LatencyEstimate.fromReport(idle, stats, 0.05, SECOND_NS).score(), greaterThan(2.0));
  }

  @Test
  void unhealthyBackendGetsAHigherScore() {
    BackendStats stats = stats("b", LOCAL_ZONE.value());
    stats.recordProbe(false, 0, 0);
    assertThat(estimate(stats, 0, 0, 1).score(), closeTo(5, 0.001));
  }

  @Test
  void backoffOfAnUnreachableBackendGrowsUntilAProbeSucceeds() {
    BackendStats stats = stats("b", LOCAL_ZONE.value());
    stats.recordUnreachable(0);
    assertThat(stats.isBackingOff(SECOND_NS / 5), is(true));
    assertThat(stats.isBackingOff(SECOND_NS / 2), is(false));
    stats.recordUnreachable(SECOND_NS);
    assertThat(stats.isBackingOff(SECOND_NS + SECOND_NS * 2 / 5), is(true));
    stats.recordProbe(true, 0, 2 * SECOND_NS);
    stats.recordUnreachable(9 * SECOND_NS);
    assertThat(stats.isBackingOff(9 * SECOND_NS + SECOND_NS * 2 / 5), is(false));
  }

  @Test
  void probeResponseSetsTheEndOfTheColdStart() {
    BackendStats stats = stats("b", LOCAL_ZONE.value());
    stats.recordProbe(true, 2 * SECOND_NS, 0);
    assertThat(stats.isCold(SECOND_NS), is(true));
    assertThat(stats.isCold(3 * SECOND_NS), is(false));
  }

  @Test
  void backendWithoutARecentProbeResponseCanBeCold() {
    BackendStats stats = stats("b", LOCAL_ZONE.value());
    assertThat(stats.canBeCold(1, SECOND_NS), is(true));
    stats.recordProbe(true, 0, SECOND_NS);
    assertThat(stats.canBeCold(1, SECOND_NS + SECOND_NS / 4), is(false));
    assertThat(stats.canBeCold(1, 2 * SECOND_NS), is(true));
    assertThat(stats.isCold(2 * SECOND_NS), is(false));
  }

  private record Server(BackendStats stats, boolean hasIdleConnection)
      implements CandidateOrder.Candidate {}

  private static Server server(String name, String zone) {
    return new Server(stats(name, zone), name.endsWith("open"));
  }

  private static List<String> names(List<Server> candidates) {
    return candidates.stream().map(server -> server.stats().instance().name().value()).toList();
  }

  @Test
  void ownZoneComesFirstAndIdleConnectionsAreFavored() {
    List<Server> candidates =
        List.of(
            server("far", "other"),
            server("near", LOCAL_ZONE.value()),
            server("open", LOCAL_ZONE.value()),
            server("far-open", "other"));
    CandidateOrder order = new CandidateOrder("g", LOCAL_ZONE, new Random(1));
    int connectedFirst = 0;
    for (int i = 0; i < 1_000; i++) {
      List<String> local = names(order.local(candidates, Set.of(), SECOND_NS));
      assertThat(Set.copyOf(local), is(Set.of("open", "near")));
      List<String> others = names(order.others(candidates, Set.of(), SECOND_NS));
      assertThat(Set.copyOf(others), is(Set.of("far", "far-open")));
      connectedFirst += local.getFirst().equals("open") ? 1 : 0;
    }
    assertThat(connectedFirst, greaterThan(800));
    assertThat("the one that is not connected never comes first", connectedFirst, lessThan(950));
  }

  @Test
  void excludedAndUnreachableBackendsAreSkipped() {
    List<Server> candidates =
        List.of(
            server("tried", LOCAL_ZONE.value()),
            server("down", LOCAL_ZONE.value()),
            server("up", LOCAL_ZONE.value()));
    candidates.get(1).stats().recordUnreachable(SECOND_NS);
    CandidateOrder order = new CandidateOrder("g", LOCAL_ZONE, new Random(1));
    Set<BackendName> excluded = Set.of(new BackendName("tried"));
    assertThat(names(order.local(candidates, excluded, SECOND_NS)), contains("up"));
    assertThat(order.others(candidates, excluded, SECOND_NS), is(empty()));
  }

  /** The servers of a zone lose power: the first probes of each hang until a timeout. */
  @Test
  void backendsThatDoNotRespondComeLast() {
    List<Server> candidates = List.of(server("silent", LOCAL_ZONE.value()), server("far", "other"));
    BackendStats silent = candidates.getFirst().stats();
    CandidateOrder order = new CandidateOrder("g", LOCAL_ZONE, new Random(1));
    silent.recordProbeStart(SECOND_NS);
    assertThat(names(order.local(candidates, Set.of(), SECOND_NS)), contains("silent"));
    long laterNs = SECOND_NS + SECOND_NS / 4;
    assertThat(order.local(candidates, Set.of(), laterNs), is(empty()));
    assertThat(names(order.others(candidates, Set.of(), laterNs)), contains("far", "silent"));
    silent.recordProbeEnd();
    assertThat(names(order.local(candidates, Set.of(), laterNs)), contains("silent"));
  }

  @Test
  void gatewaysPreferDifferentSubsetsOfALargeZone() {
    List<Server> candidates = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      candidates.add(server("b-" + i, LOCAL_ZONE.value()));
    }
    Set<String> first = firstCandidates("g-1", candidates);
    Set<String> second = firstCandidates("g-2", candidates);
    assertThat(first.size(), is(6));
    assertThat(first, is(not(second)));
  }

  /** A service of the large deployment: 20 backend servers in the own zone, 77 in four others. */
  @Test
  void allBackendsOfTheOwnZoneAreLocalCandidates() {
    List<Server> candidates = new ArrayList<>();
    for (int i = 0; i < 97; i++) {
      candidates.add(server("b-" + i, i < 20 ? LOCAL_ZONE.value() : "other-" + i % 4));
    }
    CandidateOrder order = new CandidateOrder("g-1", LOCAL_ZONE, new Random(1));
    List<Server> local = order.local(candidates, Set.of(), SECOND_NS);
    assertThat(Set.copyOf(local), is(Set.copyOf(candidates.subList(0, 20))));
    assertThat(order.others(candidates, Set.of(), SECOND_NS).size(), is(77));
  }

  private static Set<String> firstCandidates(String gateway, List<Server> candidates) {
    CandidateOrder order = new CandidateOrder(gateway, LOCAL_ZONE, new Random(1));
    Set<String> firstNames = new HashSet<>();
    for (int i = 0; i < 200; i++) {
      firstNames.add(names(order.local(candidates, Set.of(), SECOND_NS)).getFirst());
    }
    return firstNames;
  }
}
