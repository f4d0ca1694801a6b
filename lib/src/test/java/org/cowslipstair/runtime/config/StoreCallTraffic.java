package org.cowslipstair.runtime.config;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToLongFunction;

/**
 * Measures the calls by which a fleet loads the store: at rest, after a change of a zone, and after
 * an outage. Backoff reaches its cap within 30 s, so a longer outage loads the store no more.
 */
public final class StoreCallTraffic {
  private static final int REST_S = 60;
  private static final int AFTER_CHANGE_S = 10;
  private static final int OUTAGE_S = 75;
  private static final int AFTER_OUTAGE_S = 30;

  private StoreCallTraffic() {}

  /** Calls of all gateways up to one moment. */
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

    private static long sum(List<WatchingGateway> fleet, ToLongFunction<StoreCallCounts> kind) {
      return fleet.stream().mapToLong(gateway -> kind.applyAsLong(gateway.store.counts())).sum();
    }
  }

  /** Runs fleets of the sizes given as arguments; 18 without any. */
  public static void main(String[] args) throws InterruptedException {
    int size = args.length == 0 ? 18 : Integer.parseInt(args[0]);
    FakePlatformStore platform = new FakePlatformStore();
    platform.write("a", "in");
    List<WatchingGateway> fleet = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      fleet.add(new WatchingGateway(platform, i, size));
    }
    System.out.println(
        "calls a second of all " + size + " gateways: lists, watches, instances, failed; peak");
    watch("start", fleet, 5);
    watch("rest", fleet, REST_S);
    platform.write("a", "out");
    watch("after a zone change", fleet, AFTER_CHANGE_S);
    platform.setDown(true);
    watch("outage", fleet, OUTAGE_S);
    platform.setDown(false);
    watch("after the outage", fleet, AFTER_OUTAGE_S);
    fleet.forEach(WatchingGateway::close);
  }

  private static void watch(String phase, List<WatchingGateway> fleet, int seconds)
      throws InterruptedException {
    Totals start = Totals.of(fleet);
    Totals last = start;
    long peak = 0;
    StringBuilder bySecond = new StringBuilder();
    for (int i = 0; i < seconds; i++) {
      Thread.sleep(1_000);
      Totals now = Totals.of(fleet);
      peak = Math.max(peak, now.all() - last.all());
      bySecond.append(' ').append(now.all() - last.all());
      last = now;
    }
    System.out.printf(
        "%-20s %6.2f %6.2f %6.2f %6.2f   peak %d%n",
        phase,
        (last.lists() - start.lists()) / (double) seconds,
        (last.watches() - start.watches()) / (double) seconds,
        (last.instances() - start.instances()) / (double) seconds,
        (last.failed() - start.failed()) / (double) seconds,
        peak);
    System.out.println("  by second:" + bySecond);
  }
}
