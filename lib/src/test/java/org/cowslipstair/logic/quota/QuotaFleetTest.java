package org.cowslipstair.logic.quota;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import java.util.Random;
import java.util.function.Function;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.cowslipstair.model.tenant.Quota;
import org.cowslipstair.model.tenant.QuotaPolicy;

/** The quota of a tenant over a whole fleet. */
final class QuotaFleetTest {
  private static final long SECOND_NS = 1_000_000_000L;
  private static final QuotaPolicy POLICY = new QuotaPolicy(5_000, 0.1, 20);
  private static final double OVERLOAD = 7.5;

  private static List<String> names(int count) {
    return IntStream.range(0, count).mapToObj(i -> "g-" + i).toList();
  }

  private static QuotaBounds bounds(double rate) {
    return new QuotaBounds(new Quota(rate, rate), POLICY);
  }

  private static SimulatedQuotaFleet fleet(int gateways, double rate, long seed) {
    SimulatedQuotaFleet fleet = new SimulatedQuotaFleet(seed, bounds(rate));
    List<String> names = names(gateways);
    names.forEach(name -> fleet.add(name, names, true));
    return fleet;
  }

  private static Function<Random, String> anyOf(int gateways) {
    return random -> "g-" + random.nextInt(gateways);
  }

  private static void assertWithinQuota(SimulatedQuotaFleet fleet, double rate) {
    QuotaBounds bounds = bounds(rate);
    assertThat(
        (long) fleet.maxRunsWithin(bounds.windowNs(), 0), lessThanOrEqualTo(bounds.maxInWindow()));
  }

  @Property(seed = "3101", tries = 60)
  void calmFleetUsesTheQuotaAndKeepsIt(
      @ForAll @IntRange(min = 1, max = 20) int gateways,
      @ForAll @DoubleRange(min = 0.5, max = 60) double rate,
      @ForAll long seed) {
    SimulatedQuotaFleet fleet = fleet(gateways, rate, seed);
    fleet.runUntil(40 * SECOND_NS, OVERLOAD * rate, anyOf(gateways));
    assertWithinQuota(fleet, rate);
    assertThat(fleet.runs.size() / 40.0, greaterThanOrEqualTo(0.95 * rate));
  }

  /** All callers use one gateway, and another one every three seconds. */
  @Property(seed = "3102", tries = 60)
  void quotaDoesNotDependOnWhereCallersAre(
      @ForAll @IntRange(min = 1, max = 20) int gateways,
      @ForAll @DoubleRange(min = 0.5, max = 60) double rate,
      @ForAll long seed) {
    SimulatedQuotaFleet fleet = fleet(gateways, rate, seed);
    for (int second = 3; second <= 42; second += 3) {
      String gateway = "g-" + second / 3 % gateways;
      fleet.runUntil(second * SECOND_NS, OVERLOAD * rate, _ -> gateway);
    }
    assertWithinQuota(fleet, rate);
    assertThat(fleet.runs.size() / 42.0, greaterThanOrEqualTo(0.95 * rate));
  }

  /** Limits of 1.6 times the usual rate leave room for the variation of ordinary callers. */
  @Property(seed = "3103", tries = 60)
  void usualRateIsNotRefused(
      @ForAll @IntRange(min = 1, max = 20) int gateways,
      @ForAll @DoubleRange(min = 0.5, max = 60) double rate,
      @ForAll long seed) {
    SimulatedQuotaFleet fleet = fleet(gateways, rate, seed);
    fleet.runUntil(40 * SECOND_NS, rate / 1.6, anyOf(gateways));
    assertThat((double) fleet.refusedCount, lessThanOrEqualTo(1 + 0.01 * fleet.runs.size()));
  }

  /** In as many parts as the seed gives, again and again. */
  @Property(seed = "3104", tries = 100)
  void dividedFleetKeepsTheQuota(
      @ForAll @IntRange(min = 2, max = 20) int gateways,
      @ForAll @IntRange(min = 2, max = 20) int parts,
      @ForAll @DoubleRange(min = 0.5, max = 60) double rate,
      @ForAll long seed) {
    SimulatedQuotaFleet fleet = fleet(gateways, rate, seed);
    Random random = new Random(seed);
    for (int round = 1; round <= 6; round++) {
      int shift = random.nextInt(1_000);
      fleet.cut((from, to) -> part(from, shift, parts) != part(to, shift, parts));
      fleet.runUntil((round * 8L - 4) * SECOND_NS, OVERLOAD * rate, anyOf(gateways));
      fleet.cut((_, _) -> false);
      fleet.runUntil(round * 8L * SECOND_NS, OVERLOAD * rate, anyOf(gateways));
    }
    assertWithinQuota(fleet, rate);
  }

  private static int part(String gateway, int shift, int parts) {
    return Math.floorMod((gateway + shift).hashCode(), parts);
  }

  @Property(seed = "3105", tries = 100)
  void freezesRestartsAndLossesKeepTheQuota(
      @ForAll @IntRange(min = 1, max = 20) int gateways,
      @ForAll @DoubleRange(min = 0.5, max = 60) double rate,
      @ForAll @DoubleRange(min = 0, max = 0.1) double losses,
      @ForAll long seed) {
    SimulatedQuotaFleet fleet = fleet(gateways, rate, seed);
    fleet.lose(losses);
    Random random = new Random(seed);
    for (int second = 2; second <= 40; second += 2) {
      fleet.runUntil(second * SECOND_NS, OVERLOAD * rate, anyOf(gateways));
      String gateway = "g-" + random.nextInt(gateways);
      if (random.nextBoolean()) {
        fleet.restart(gateway);
      } else {
        fleet.freeze(gateway, (long) (random.nextDouble() * 4 * SECOND_NS));
      }
    }
    assertWithinQuota(fleet, rate);
  }

  /** Half of the gateways restart at once, and know fewer gateways than there are. */
  @Property(seed = "3106", tries = 60)
  void gatewaysThatKnowDifferentFleetsKeepTheQuota(
      @ForAll @IntRange(min = 2, max = 20) int gateways,
      @ForAll @DoubleRange(min = 0.5, max = 60) double rate,
      @ForAll long seed) {
    SimulatedQuotaFleet fleet = fleet(gateways, rate, seed);
    fleet.runUntil(8 * SECOND_NS, OVERLOAD * rate, anyOf(gateways));
    List<String> all = names(gateways + 1 + gateways / 10);
    all.subList(gateways, all.size()).forEach(name -> fleet.add(name, all, false));
    fleet.runUntil(20 * SECOND_NS, OVERLOAD * rate, anyOf(all.size()));
    for (int i = 0; i < gateways / 2; i++) {
      fleet.restart("g-" + i);
    }
    fleet.runUntil(30 * SECOND_NS, OVERLOAD * rate, anyOf(all.size()));
    assertWithinQuota(fleet, rate);
  }

  /** The gateways learn of a lower limit one after the other. */
  @Property(seed = "3107", tries = 60)
  void lowerLimitIsKeptOneWindowAfterAllKnowIt(
      @ForAll @IntRange(min = 1, max = 20) int gateways,
      @ForAll @DoubleRange(min = 1, max = 60) double rate,
      @ForAll long seed) {
    SimulatedQuotaFleet fleet = fleet(gateways, rate, seed);
    fleet.runUntil(8 * SECOND_NS, OVERLOAD * rate, anyOf(gateways));
    QuotaBounds lower = bounds(rate / 2);
    for (int i = 0; i < gateways; i++) {
      int informed = i;
      fleet.setBounds(
          name -> Integer.parseInt(name.substring(2)) <= informed ? lower : bounds(rate));
      fleet.runUntil((8 * 20 + i + 1) * SECOND_NS / 20, OVERLOAD * rate, anyOf(gateways));
    }
    fleet.runUntil(30 * SECOND_NS, OVERLOAD * rate, anyOf(gateways));
    assertThat(
        (long) fleet.maxRunsWithin(lower.windowNs(), 9 * SECOND_NS),
        lessThanOrEqualTo(lower.maxInWindow()));
  }
}
