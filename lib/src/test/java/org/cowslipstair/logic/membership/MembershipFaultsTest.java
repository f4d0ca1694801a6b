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
import org.cowslipstair.logic.membership.FleetChannel.Node;
import org.cowslipstair.model.fleet.Member;

/** Randomised runs; a failure is shrunk to the shortest list of faults that still fails. */
class MembershipFaultsTest {
  private static final long CHOSEN_SEED = Long.getLong("cowslipstair.seed", 0);
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
  void viewsAgreeAfterFaultsEndAndNoOldProcessComesBack(
      @ForAll("faults") List<Fault> faults, @ForAll long seed) {
    runFaults(faults, seed);
  }

  @Tag("slow")
  @Property(seed = "4712", tries = 5_000)
  void longRunOfTheSame(@ForAll("faults") List<Fault> faults, @ForAll long seed) {
    runFaults(faults, seed ^ CHOSEN_SEED);
  }

  private static void runFaults(List<Fault> faults, long seed) {
    FleetChannel channel = new FleetChannel(seed);
    for (int i = 0; i < GATEWAYS; i++) {
      channel.seed(channel.start(i, 1), channel.node(0));
    }
    channel.run(SETTLE_MS);
    assertViewsAgree(channel);
    channel.list();
    channel.storeUp = seed % 2 == 0;
    List<Fault> ordered = new ArrayList<>(faults);
    ordered.sort(Comparator.comparingInt(Fault::atMs));
    long startNs = channel.nowNs;
    long incarnation = 2;
    for (Fault fault : ordered) {
      long atNs = startNs + TimeUnit.MILLISECONDS.toNanos(fault.atMs());
      channel.run(TimeUnit.NANOSECONDS.toMillis(Math.max(0, atNs - channel.nowNs)));
      inject(channel, fault, incarnation++);
    }
    channel.run(9_000);
    channel.nodes.values().forEach(node -> node.side = 0);
    channel.storeUp = true;
    channel.lossPercent = 0;
    channel.list();
    channel.run(SETTLE_MS);
    assertViewsAgree(channel);
  }

  private static void inject(FleetChannel channel, Fault fault, long incarnation) {
    Node node = channel.node(fault.gateway());
    if (node == null) {
      channel.start(fault.gateway(), incarnation);
      channel.list();
      return;
    }
    switch (fault.kind()) {
      case CRASH -> channel.crash(node, false);
      case SILENT_CRASH -> channel.crash(node, true);
      case RESTART -> {
        channel.crash(node, fault.durationMs() % 2 == 0);
        channel.start(fault.gateway(), incarnation);
        channel.list();
      }
      case PAUSE ->
          node.pausedUntilNs = channel.nowNs + TimeUnit.MILLISECONDS.toNanos(fault.durationMs());
      case PARTITION -> node.side = fault.durationMs() % 3;
      case CLOSE_CONNECTION ->
          channel.nodes.values().stream()
              .filter(other -> other != node)
              .forEach(other -> channel.close(node, other));
      case LEAVE -> {
        channel.apply(node, node.core.leave(channel.nowNs));
        channel.run(1_000);
        channel.crash(node, false);
      }
      default -> throw new AssertionError(fault);
    }
  }

  private static void assertViewsAgree(FleetChannel channel) {
    List<Member> running = channel.nodes.values().stream().map(node -> node.self).toList();
    for (Node node : channel.nodes.values()) {
      FleetView view = node.core.view();
      assertThat("members of " + node.self.id(), view.members(), is(running));
      assertThat("isolation of " + node.self.id(), view.isolated(), is(false));
    }
  }
}
