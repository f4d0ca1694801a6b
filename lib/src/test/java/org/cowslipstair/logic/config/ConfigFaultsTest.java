package org.cowslipstair.logic.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tag;
import net.jqwik.api.constraints.IntRange;
import org.cowslipstair.logic.config.SimulatedConfigFleet.Node;

/** Randomised runs; a violation of VERSION_NEVER_FALLS fails the run immediately. */
class ConfigFaultsTest {
  private static final long EXTRA_SEED = Long.getLong("cowslipstair.seed", 0);
  private static final int GATEWAYS = 5;
  private static final int MAX_PROPAGATION_MS = 4_000;

  enum Kind {
    WRITE,
    WRITE_INVALID,
    DELETE,
    STORE_DOWN,
    STORE_UP,
    STORE_SLOW,
    COPY_STORE,
    RETURN_TO_COPY,
    STICK_WATCH,
    CUT_OFF,
    REJOIN,
    RESTART
  }

  record Step(Kind kind, int gateway, int zone, int durationMs) {}

  @Provide
  Arbitrary<List<Step>> steps() {
    return Combinators.combine(
            Arbitraries.of(Kind.class),
            Arbitraries.integers().between(0, GATEWAYS - 1),
            Arbitraries.integers().between(0, 3),
            Arbitraries.integers().between(0, 3_000))
        .as(Step::new)
        .list()
        .ofMaxSize(30);
  }

  @Property(seed = "815", tries = 100)
  void gatewaysConvergeToTheSameSnapshotAfterRandomFaults(
      @ForAll("steps") List<Step> steps, @ForAll long seed) {
    runSteps(steps, seed);
  }

  @Tag("slow")
  @Property(seed = "816", tries = 5_000)
  void gatewaysConvergeToTheSameSnapshotInLongRun(
      @ForAll("steps") List<Step> steps, @ForAll long seed) {
    runSteps(steps, seed ^ EXTRA_SEED);
  }

  private static void runSteps(List<Step> steps, long seed) {
    SimulatedConfigFleet fleet = startFleet(seed);
    fleet.lossPercent = 15;
    for (Step step : steps) {
      apply(fleet, step);
      fleet.run(step.durationMs());
    }
    fleet.lossPercent = 0;
    fleet.isStoreUp = true;
    fleet.nodes.values().forEach(node -> node.isCutOff = false);
    fleet.run(25_000);

    Node first = fleet.node(0);
    assertThat(first.core.inForce().revision(), is(fleet.store.revision));
    for (Node node : fleet.nodes.values()) {
      assertThat(node.name.value(), node.core.inForce(), is(first.core.inForce()));
      assertThat(List.copyOf(node.snapshot.zones()), is(List.copyOf(first.snapshot.zones())));
    }
  }

  private static SimulatedConfigFleet startFleet(long seed) {
    SimulatedConfigFleet fleet = new SimulatedConfigFleet(seed);
    for (int zone = 0; zone < 4; zone++) {
      fleet.store.write(zone, "in");
    }
    for (int i = 0; i < GATEWAYS; i++) {
      fleet.start(i);
    }
    fleet.run(3_500);
    return fleet;
  }

  private static void apply(SimulatedConfigFleet fleet, Step step) {
    Node node = fleet.node(step.gateway());
    switch (step.kind()) {
      case WRITE -> fleet.store.write(step.zone(), "v" + fleet.store.revision);
      case WRITE_INVALID -> fleet.store.write(step.zone(), "bad");
      case DELETE -> fleet.store.delete(step.zone());
      case STORE_DOWN -> fleet.isStoreUp = false;
      case STORE_UP -> fleet.isStoreUp = true;
      case STORE_SLOW -> fleet.storeDelayMs = step.durationMs();
      case COPY_STORE -> fleet.copy = Optional.of(fleet.store.copy("store-a"));
      case RETURN_TO_COPY ->
          fleet.copy.ifPresent(copy -> fleet.store = copy.returnInPlaceOf(fleet.store));
      case STICK_WATCH -> {
        if (step.gateway() != 0) {
          node.isWatchStuck = true; // Permanently; gateway 0 always keeps a working watch.
        }
      }
      case CUT_OFF -> node.isCutOff = true;
      case REJOIN -> node.isCutOff = false;
      case RESTART -> fleet.start(step.gateway());
      default -> throw new AssertionError(step);
    }
  }

  @Property(seed = "817", tries = 40)
  void changeIsInForceWithinFourSecondsWithSlowStore(
      @ForAll long seed, @ForAll @IntRange(max = 3_000) int writeDelayMs) {
    SimulatedConfigFleet fleet = startFleet(seed);
    fleet.storeDelayMs = 2_000;
    fleet.lossPercent = 5;
    fleet.run(writeDelayMs);
    fleet.store.write(1, "out");
    fleet.run(MAX_PROPAGATION_MS);

    fleet.nodes.values().forEach(node -> assertThat(node.stateOf(1), is("out")));
  }

  @Property(seed = "818", tries = 40)
  void changeSeenByOneGatewayBeforeStoreOutageIsInForceWithinFourSeconds(
      @ForAll long seed, @ForAll @IntRange(max = GATEWAYS - 1) int receiver) {
    SimulatedConfigFleet fleet = startFleet(seed);
    fleet.lossPercent = 5;
    fleet.nodes.values().forEach(node -> node.isWatchStuck = node != fleet.node(receiver));
    fleet.store.write(1, "out");
    fleet.run(60);
    fleet.isStoreUp = false;
    fleet.run(MAX_PROPAGATION_MS - 60);

    fleet.nodes.values().forEach(node -> assertThat(node.stateOf(1), is("out")));
  }
}
