package org.cowslipstair.logic.ratelimit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.traffic.RateLimit;
import org.junit.jupiter.api.Test;

/**
 * The rate limit of a backend server over a whole fleet: at most one and a half times the limit in
 * any 4 s, and 5 requests.
 */
final class RateLimitCoordinatorTest {
  private static final long SECOND_NS = 1_000_000_000L;
  private static final long WINDOW_NS = 4 * SECOND_NS;
  private static final BackendName BACKEND = new BackendName("b");

  private static List<String> names(int count) {
    return IntStream.range(0, count).mapToObj(i -> "g-" + i).toList();
  }

  private static SimulatedPermitFleet fleet(int gateways, double limit, long seed) {
    SimulatedPermitFleet fleet = new SimulatedPermitFleet(seed, limit);
    List<String> names = names(gateways);
    names.forEach(name -> fleet.add(name, names));
    return fleet;
  }

  private static void assertWithinLimit(SimulatedPermitFleet fleet, double limit) {
    assertThat((double) fleet.maxArrivalsWithin(WINDOW_NS), lessThanOrEqualTo(1.5 * limit * 4 + 5));
  }

  @Property(seed = "2501", tries = 60)
  void calmFleetUsesTheLimitAndKeepsIt(
      @ForAll @IntRange(min = 1, max = 152) int gateways,
      @ForAll @DoubleRange(min = 0.3, max = 30) double limit,
      @ForAll long seed) {
    SimulatedPermitFleet fleet = fleet(gateways, limit, seed);
    fleet.runUntil(40 * SECOND_NS, (long) (SECOND_NS / limit / 8));
    assertWithinLimit(fleet, limit);
    assertThat(fleet.arrivalsNs.size() / 40.0, greaterThanOrEqualTo(0.8 * limit));
  }

  @Property(seed = "2502", tries = 60)
  void fleetInTwoPartsKeepsTheLimit(
      @ForAll @IntRange(min = 2, max = 40) int gateways,
      @ForAll @DoubleRange(min = 0.3, max = 30) double limit,
      @ForAll long seed) {
    SimulatedPermitFleet fleet = fleet(gateways, limit, seed);
    long intervalNs = (long) (SECOND_NS / limit / 8);
    Random random = new Random(seed);
    for (int round = 1; round <= 4; round++) {
      Set<String> part = new HashSet<>();
      names(gateways).stream().filter(_ -> random.nextBoolean()).forEach(part::add);
      fleet.cut((from, to) -> part.contains(from) != part.contains(to));
      fleet.runUntil((round * 10L - 4) * SECOND_NS, intervalNs);
      fleet.cut((_, _) -> false);
      fleet.runUntil(round * 10L * SECOND_NS, intervalNs);
    }
    assertWithinLimit(fleet, limit);
    assertThat(fleet.arrivalsNs.size() / 40.0, greaterThanOrEqualTo(0.3 * limit));
  }

  /** Two zones cannot reach each other, while the third reaches both. */
  @Property(seed = "2503", tries = 60)
  void zonesThatReachEachOtherOnlyThroughAThirdKeepTheLimit(
      @ForAll @IntRange(min = 3, max = 40) int gateways,
      @ForAll @DoubleRange(min = 0.3, max = 30) double limit,
      @ForAll long seed) {
    SimulatedPermitFleet fleet = fleet(gateways, limit, seed);
    fleet.cut((from, to) -> zone(from) + zone(to) == 1);
    fleet.runUntil(30 * SECOND_NS, (long) (SECOND_NS / limit / 8));
    assertWithinLimit(fleet, limit);
  }

  private static int zone(String gateway) {
    int zone = Integer.parseInt(gateway.substring(2)) % 3;
    return zone == 2 ? 4 : zone;
  }

  /** The others learn of new gateways one after the other, seconds later. */
  @Property(seed = "2504", tries = 60)
  void gatewaysThatOthersDoNotKnowYetKeepTheLimit(
      @ForAll @IntRange(min = 3, max = 40) int gateways,
      @ForAll @IntRange(min = 1, max = 2) int added,
      @ForAll @DoubleRange(min = 0.3, max = 30) double limit,
      @ForAll long seed) {
    SimulatedPermitFleet fleet = fleet(gateways, limit, seed);
    long intervalNs = (long) (SECOND_NS / limit / 8);
    fleet.runUntil(6 * SECOND_NS, intervalNs);
    List<String> all = names(gateways + added);
    all.subList(gateways, gateways + added).forEach(name -> fleet.add(name, all));
    Random random = new Random(seed);
    for (int second = 7; second < 30; second++) {
      fleet.setView(all.get(random.nextInt(gateways)), all);
      fleet.runUntil(second * SECOND_NS, intervalNs);
    }
    assertWithinLimit(fleet, limit);
    assertThat(fleet.arrivalsNs.size() / 30.0, greaterThanOrEqualTo(0.4 * limit));
  }

  @Property(seed = "2505", tries = 60)
  void restartsKeepTheLimit(
      @ForAll @IntRange(min = 1, max = 40) int gateways,
      @ForAll @DoubleRange(min = 0.3, max = 30) double limit,
      @ForAll long seed) {
    SimulatedPermitFleet fleet = fleet(gateways, limit, seed);
    Random random = new Random(seed);
    for (int second = 5; second < 40; second += 5) {
      fleet.runUntil(second * SECOND_NS, (long) (SECOND_NS / limit / 8));
      fleet.restart("g-" + random.nextInt(gateways));
    }
    assertWithinLimit(fleet, limit);
  }

  @Test
  void unknownFleetIssuesNoPermits() {
    RateLimitCoordinator coordinator = new RateLimitCoordinator("g", InvariantMonitor.failing());
    assertThat(
        coordinator.respond(BACKEND, Optional.of(new RateLimit(5)), 1, List.of(), _ -> false, 0),
        instanceOf(RateLimitCoordinator.Response.NotIssuer.class));
  }

  /** A gateway that asks to be confirmed would otherwise use up the permits of the others. */
  @Test
  void askingWhoIssuesTakesNoPermit() {
    RateLimitCoordinator coordinator = new RateLimitCoordinator("g", InvariantMonitor.failing());
    for (int i = 0; i < 10; i++) {
      assertThat(
          coordinator.respond(
              BACKEND, Optional.of(new RateLimit(1)), 0, List.of("g"), _ -> false, 0),
          instanceOf(RateLimitCoordinator.Response.Denied.class));
    }
    assertThat(coordinator.issuedCount(), is(0L));
    assertThat(
        coordinator.respond(BACKEND, Optional.of(new RateLimit(1)), 1, List.of("g"), _ -> false, 0),
        instanceOf(RateLimitCoordinator.Response.Granted.class));
  }

  @Test
  void withdrawnLimitNeedsNoPermit() {
    RateLimitCoordinator coordinator = new RateLimitCoordinator("g", InvariantMonitor.failing());
    assertThat(
        coordinator.respond(BACKEND, Optional.empty(), 1, List.of("g"), _ -> false, 0),
        instanceOf(RateLimitCoordinator.Response.Unlimited.class));
  }

  /** Without a single request nobody would learn that the limit is withdrawn. */
  @Test
  void limitOfZeroStillGetsARequestNowAndThen() {
    PermitIssuer issuer = new PermitIssuer(InvariantMonitor.failing());
    int granted = 0;
    for (int second = 0; second < 60; second++) {
      PermitIssuer.Decision decision =
          issuer.tryIssue(
              BACKEND, new RateLimit(0), PermitIssuer.Role.STAND_IN, 1, second * SECOND_NS);
      granted += decision instanceof PermitIssuer.Decision.Granted ? 1 : 0;
    }
    assertThat(granted, is(3));
  }

  @Test
  void loweredLimitIsKeptAtOnce() {
    PermitIssuer issuer = new PermitIssuer(InvariantMonitor.failing());
    int granted = 0;
    for (long ms = 0; ms < 8_000; ms += 10) {
      RateLimit limit = new RateLimit(ms < 4_000 ? 20 : 1);
      boolean isGranted =
          issuer.tryIssue(BACKEND, limit, PermitIssuer.Role.PRIMARY, 1, ms * 1_000_000L)
              instanceof PermitIssuer.Decision.Granted;
      granted += isGranted && ms >= 4_000 ? 1 : 0;
    }
    assertThat(granted, lessThanOrEqualTo(6));
    assertThat(granted, greaterThanOrEqualTo(4));
  }
}
