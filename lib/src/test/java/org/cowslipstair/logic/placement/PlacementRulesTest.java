package org.cowslipstair.logic.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.contains;
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

/** What is remembered of backend servers, how they are ranked, and who is asked first. */
final class PlacementRulesTest {
  private static final long SECOND_NS = 1_000_000_000L;
  private static final ZoneName HOME = new ZoneName("home");

  private static BackendRecord record(String name, String zone) {
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
    return new BackendRecord(instance, 0);
  }

  private static Estimate estimate(BackendRecord record, int running, int waiting, double pace) {
    return Estimate.of(new LoadReport(running, waiting, 3, pace), record, SECOND_NS);
  }

  @Test
  void slowPaceAndQueuesMakeAnEstimateLonger() {
    BackendRecord record = record("b", HOME.value());
    Estimate idle = estimate(record, 0, 0, 1);
    assertThat(idle.total(), closeTo(1, 0.001));
    assertThat(estimate(record, 0, 0, 5).total(), greaterThan(idle.total()));
    assertThat(estimate(record, 2, 0, 1).total(), greaterThan(idle.total()));
    assertThat(estimate(record, 3, 1, 1).total(), greaterThan(estimate(record, 3, 0, 1).total()));
    assertThat(estimate(record, 3, 3, 1).room(), is(false));
  }

  @Test
  void backendThatIsNotAskedIsJudgedByItsLastReportWhileThatIsRecent() {
    BackendRecord record = record("b", HOME.value());
    record.reported(new LoadReport(2, 0, 3, 1), SECOND_NS);
    long soonNs = SECOND_NS + SECOND_NS / 10;
    assertThat(Estimate.unasked(record, soonNs).free(), is(true));
    record.started();
    assertThat(Estimate.unasked(record, soonNs).free(), is(false));
    record.reported(new LoadReport(3, 4, 3, 1), soonNs);
    assertThat(Estimate.unasked(record, soonNs).room(), is(false));
    assertThat(Estimate.unasked(record, soonNs + SECOND_NS).room(), is(true));
  }

  @Test
  void failuresLowerTheRankAndNotTheTimeAndFade() {
    BackendRecord record = record("b", HOME.value());
    record.outcome(false, SECOND_NS);
    Estimate failed = estimate(record, 0, 0, 1);
    assertThat(failed.total(), closeTo(1, 0.001));
    assertThat(failed.rank(), greaterThan(2.0));
    assertThat(record.failureShare(30 * SECOND_NS), lessThan(0.001));
  }

  @Test
  void illBackendIsRankedLastButNotRuledOut() {
    BackendRecord record = record("b", HOME.value());
    record.probed(false, 0, 0);
    assertThat(estimate(record, 0, 0, 1).rank(), closeTo(5, 0.001));
  }

  @Test
  void unreachableBackendIsLeftAloneForGrowingPauses() {
    BackendRecord record = record("b", HOME.value());
    record.unreachable(0);
    assertThat(record.isPaused(SECOND_NS / 5), is(true));
    assertThat(record.isPaused(SECOND_NS / 2), is(false));
    record.unreachable(SECOND_NS);
    assertThat(record.isPaused(SECOND_NS + SECOND_NS * 2 / 5), is(true));
    record.probed(true, 0, 2 * SECOND_NS);
    record.unreachable(9 * SECOND_NS);
    assertThat(record.isPaused(9 * SECOND_NS + SECOND_NS * 2 / 5), is(false));
  }

  @Test
  void healthAnswerSaysHowLongTheColdStartLasts() {
    BackendRecord record = record("b", HOME.value());
    record.probed(true, 2 * SECOND_NS, 0);
    assertThat(record.isCold(SECOND_NS), is(true));
    assertThat(record.isCold(3 * SECOND_NS), is(false));
  }

  @Test
  void backendThatWasNotHeardOfForAWhileMayBeCold() {
    BackendRecord record = record("b", HOME.value());
    assertThat(record.mayBeCold(SECOND_NS), is(true));
    record.probed(true, 0, SECOND_NS);
    assertThat(record.mayBeCold(SECOND_NS + SECOND_NS / 4), is(false));
    assertThat(record.mayBeCold(2 * SECOND_NS), is(true));
    assertThat(record.isCold(2 * SECOND_NS), is(false));
  }

  private static List<String> names(List<BackendRecord> records) {
    return records.stream().map(record -> record.instance().name().value()).toList();
  }

  @Test
  void ownZoneComesFirstAndConnectedOnesAreFavoured() {
    List<BackendRecord> records =
        List.of(
            record("far", "other"),
            record("near", HOME.value()),
            record("open", HOME.value()),
            record("far-open", "other"));
    CandidateOrder order = new CandidateOrder("g", HOME, new Random(1));
    int connectedFirst = 0;
    for (int i = 0; i < 1_000; i++) {
      List<String> ordered =
          names(
              order.order(
                  records, Set.of(), r -> r.instance().name().value().endsWith("open"), SECOND_NS));
      assertThat(Set.copyOf(ordered.subList(0, 2)), is(Set.of("open", "near")));
      connectedFirst += ordered.getFirst().equals("open") ? 1 : 0;
    }
    assertThat(connectedFirst, greaterThan(800));
    assertThat("the one that is not connected never comes first", connectedFirst, lessThan(950));
  }

  @Test
  void excludedAndPausedOnesAreLeftOut() {
    List<BackendRecord> records =
        List.of(
            record("tried", HOME.value()),
            record("down", HOME.value()),
            record("up", HOME.value()));
    records.get(1).unreachable(SECOND_NS);
    CandidateOrder order = new CandidateOrder("g", HOME, new Random(1));
    List<BackendRecord> ordered =
        order.order(records, Set.of(new BackendName("tried")), _ -> true, SECOND_NS);
    assertThat(names(ordered), contains("up"));
  }

  @Test
  void gatewaysPreferDifferentSubsetsOfALargeZone() {
    List<BackendRecord> records = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      records.add(record("b-" + i, HOME.value()));
    }
    Set<String> first = firstChoices("g-1", records);
    Set<String> second = firstChoices("g-2", records);
    assertThat(first.size(), is(6));
    assertThat(first, is(not(second)));
  }

  private static Set<String> firstChoices(String gateway, List<BackendRecord> records) {
    CandidateOrder order = new CandidateOrder(gateway, HOME, new Random(1));
    Set<String> chosen = new HashSet<>();
    for (int i = 0; i < 200; i++) {
      chosen.add(names(order.order(records, Set.of(), _ -> false, SECOND_NS)).getFirst());
    }
    return chosen;
  }
}
