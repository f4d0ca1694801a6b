package org.cowslipstair.logic.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tag;
import org.cowslipstair.logic.membership.SimulatedFleet.Node;
import org.cowslipstair.model.fleet.Member;

/** Randomised runs; jqwik shrinks a failure to a short list of faults that still fails. */
class MembershipFaultsTest {
  private static final long EXTRA_SEED = Long.getLong("cowslipstair.seed", 0);
  private static final int GATEWAYS = 6;
  private static final int SETTLE_MS = 15_000;

  enum Kind {
    CRASH,
    SILENT_CRASH,
    RESTART,
    PAUSE,
    PARTITION,
    CLOSE_CONNECTION,
    LEAVE
  }

  record Fault(int atMs, Kind kind, int gateway, int durationMs) {}

  @Provide
  Arbitrary<List<Fault>> faults() {
    return Combinators.combine(
            Arbitraries.integers().between(0, 20_000),
            Arbitraries.of(Kind.class),
            Arbitraries.integers().between(0, GATEWAYS - 1),
            Arbitraries.integers().between(50, 8_000))
        .as(Fault::new)
        .list()
        .ofMaxSize(12);
  }

  @Property(seed = "4711", tries = 60)
  void viewsConvergeAfterFaultsAndNoOldProcessReappears(
      @ForAll("faults") List<Fault> faults, @ForAll long seed) {
    runFaults(faults, seed);
  }

  @Tag("slow")
  @Property(seed = "4712", tries = 5_000)
  void viewsConvergeAfterFaultsInLongRun(@ForAll("faults") List<Fault> faults, @ForAll long seed) {
    runFaults(faults, seed ^ EXTRA_SEED);
  }

  private static void runFaults(List<Fault> faults, long seed) {
    SimulatedFleet fleet = new SimulatedFleet(seed);
    for (int i = 0; i < GATEWAYS; i++) {
      fleet.addSeed(fleet.start(i, 1), fleet.node(0));
    }
    fleet.run(SETTLE_MS);
    assertViewsAgree(fleet);
    fleet.publishInstanceList();
    fleet.isStoreUp = seed % 2 == 0;
    List<Fault> faultsByTime = new ArrayList<>(faults);
    faultsByTime.sort(Comparator.comparingInt(Fault::atMs));
    long startNs = fleet.nowNs;
    long incarnation = 2;
    for (Fault fault : faultsByTime) {
      long atNs = startNs + TimeUnit.MILLISECONDS.toNanos(fault.atMs());
      fleet.run(TimeUnit.NANOSECONDS.toMillis(Math.max(0, atNs - fleet.nowNs)));
      inject(fleet, fault, incarnation++);
    }
    fleet.run(9_000);
    fleet.nodes.values().forEach(node -> node.partition = 0);
    fleet.isStoreUp = true;
    fleet.lossPercent = 0;
    fleet.publishInstanceList();
    fleet.run(SETTLE_MS);
    assertViewsAgree(fleet);
  }

  private static void inject(SimulatedFleet fleet, Fault fault, long incarnation) {
    Node node = fleet.node(fault.gateway());
    if (node == null) {
      fleet.start(fault.gateway(), incarnation);
      fleet.publishInstanceList();
      return;
    }
    switch (fault.kind()) {
      case CRASH -> fleet.crash(node, false);
      case SILENT_CRASH -> fleet.crash(node, true);
      case RESTART -> {
        fleet.crash(node, fault.durationMs() % 2 == 0);
        fleet.start(fault.gateway(), incarnation);
        fleet.publishInstanceList();
      }
      case PAUSE ->
          node.pausedUntilNs = fleet.nowNs + TimeUnit.MILLISECONDS.toNanos(fault.durationMs());
      case PARTITION -> node.partition = fault.durationMs() % 3;
      case CLOSE_CONNECTION ->
          fleet.nodes.values().stream()
              .filter(other -> other != node)
              .forEach(other -> fleet.close(node, other));
      case LEAVE -> {
        fleet.apply(node, node.core.leave(fleet.nowNs));
        fleet.run(1_000);
        fleet.crash(node, false);
      }
      default -> throw new AssertionError(fault);
    }
  }

  private static void assertViewsAgree(SimulatedFleet fleet) {
    List<Member> running = fleet.nodes.values().stream().map(node -> node.self).toList();
    for (Node node : fleet.nodes.values()) {
      FleetView view = node.core.view();
      assertThat("members of " + node.self.id(), view.members(), is(running));
      assertThat("isolation of " + node.self.id(), view.refusesNewWork(), is(false));
    }
  }
}
