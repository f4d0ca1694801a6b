package org.cowslipstair.runtime.config;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToLongFunction;

/**
 * Measures the calls that a fleet makes to the store: at rest, after a change of a zone, and during
 * and after an outage. The backoff reaches its maximum within 30 s, so a longer outage causes no
 * higher call rate.
 */
public final class StoreCallTraffic {
  private static final int REST_SECONDS = 60;
  private static final int AFTER_CHANGE_SECONDS = 10;
  private static final int OUTAGE_SECONDS = 75;
  private static final int AFTER_OUTAGE_SECONDS = 30;

  private StoreCallTraffic() {}

  /** Total calls of all gateways up to one point in time. */
  private record Totals(long lists, long watches, long instances, long failed) {
    long all() {
      return lists + watches + instances;
    }

    static Totals of(List<WatchingGateway> fleet) {
      return new Totals(
          sum(fleet, StoreCallCounts::lists),
          sum(fleet, StoreCallCounts::watches),
          sum(fleet, StoreCallCounts::instances),
          sum(fleet, StoreCallCounts::failed));
    }

    private static long sum(
        List<WatchingGateway> fleet, ToLongFunction<StoreCallCounts> operation) {
      return fleet.stream()
          .mapToLong(gateway -> operation.applyAsLong(gateway.store.counts()))
          .sum();
    }
  }

  /** Runs a fleet of the size given as argument, 18 by default. */
  public static void main(String[] args) throws InterruptedException {
    int size = args.length == 0 ? 18 : Integer.parseInt(args[0]);
    FakePlatformStore store = new FakePlatformStore();
    store.write("a", "in");
    List<WatchingGateway> fleet = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      fleet.add(new WatchingGateway(store, i, size));
    }
    System.out.println(
        "calls per second of all " + size + " gateways: lists, watches, instances, failed; peak");
    measure("start", fleet, 5);
    measure("rest", fleet, REST_SECONDS);
    store.write("a", "out");
    measure("after a zone change", fleet, AFTER_CHANGE_SECONDS);
    store.setDown(true);
    measure("outage", fleet, OUTAGE_SECONDS);
    store.setDown(false);
    measure("after the outage", fleet, AFTER_OUTAGE_SECONDS);
    fleet.forEach(WatchingGateway::close);
  }

  private static void measure(String phase, List<WatchingGateway> fleet, int seconds)
      throws InterruptedException {
    Totals start = Totals.of(fleet);
    Totals latest = start;
    long peakCallsPerSecond = 0;
    StringBuilder bySecond = new StringBuilder();
    for (int i = 0; i < seconds; i++) {
      Thread.sleep(1_000);
      Totals now = Totals.of(fleet);
      peakCallsPerSecond = Math.max(peakCallsPerSecond, now.all() - latest.all());
      bySecond.append(' ').append(now.all() - latest.all());
      latest = now;
    }
    System.out.printf(
        "%-20s %6.2f %6.2f %6.2f %6.2f   peak %d%n",
        phase,
        (latest.lists() - start.lists()) / (double) seconds,
        (latest.watches() - start.watches()) / (double) seconds,
        (latest.instances() - start.instances()) / (double) seconds,
        (latest.failed() - start.failed()) / (double) seconds,
        peakCallsPerSecond);
    System.out.println("  by second:" + bySecond);
  }
}
