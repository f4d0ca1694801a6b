package org.cowslipstair.experiments.plan;

import java.util.Locale;
import org.cowslipstair.experiments.load.ServiceResult;

/** Figures of one variant in one scenario, over all its phases. */
final class VariantResult {
  private static final double NS_PER_S = 1e9;

  private final ServiceResult calls = new ServiceResult();
  private final int backends;
  private final int gateways;
  private FleetCounts counts = new FleetCounts(0, 0, 0, 0, 0, 0, 0, 0, 0);
  private long elapsedNs;
  private int phases;
  private double limitShare;
  private double leaseShare;
  private double waiting;
  private long mostWaiting;

  VariantResult(int backends, int gateways) {
    this.backends = backends;
    this.gateways = gateways;
  }

  void add(
      Iterable<ServiceResult> results, LimitSampler.Means means, FleetCounts phase, long phaseNs) {
    results.forEach(calls::add);
    phases++;
    limitShare += means.limitShare();
    leaseShare += means.leaseShare();
    waiting += means.waiting();
    mostWaiting = Math.max(mostWaiting, means.mostWaiting());
    counts = counts.plus(phase);
    elapsedNs += phaseNs;
  }

  ServiceResult calls() {
    return calls;
  }

  FleetCounts counts() {
    return counts;
  }

  /** Returns a row for the table of {@link ExperimentReport}. */
  String[] row(String variant) {
    double seconds = elapsedNs / NS_PER_S;
    return new String[] {
      variant,
      Long.toString(calls.calls()),
      percent(calls.notRun(), calls.calls()),
      Long.toString(calls.mayHaveRun()),
      Long.toString(calls.connectionFailures() + calls.unreachable() + calls.wrongBodies()),
      decimal(calls.totalMs(50)),
      decimal(calls.totalMs(99)),
      decimal(calls.totalMs(99.9)),
      decimal(calls.waitMs(90)),
      decimal(calls.waitMs(99)),
      decimal(calls.addedMs(99)),
      percent(counts.overSlots(), counts.calls()),
      Long.toString(counts.overCold()),
      Long.toString(counts.overColdLate()),
      Long.toString(counts.afterMark()),
      decimal(counts.probes() / seconds / backends),
      Long.toString(Math.round(counts.controlBytes() / seconds / gateways)),
      percent(Math.round(counts.controlCpuNs() / (double) gateways), elapsedNs),
      Long.toString(counts.violations()),
      decimal(100 * limitShare / Math.max(1, phases)),
      decimal(100 * leaseShare / Math.max(1, phases)),
      decimal(waiting / Math.max(1, phases)),
      Long.toString(mostWaiting)
    };
  }

  static String[] head() {
    return new String[] {
      "variant",
      "calls",
      "not run %",
      "unknown",
      "failed",
      "p50 ms",
      "p99 ms",
      "p99.9 ms",
      "wait p90 ms",
      "wait p99 ms",
      "added p99 ms",
      "over slots %",
      "over cold",
      "late cold",
      "late zone",
      "probes/s/backend",
      "control B/s/node",
      "control cpu %",
      "violations",
      "limit %",
      "leased %",
      "queued",
      "most queued"
    };
  }

  private static String percent(long part, long whole) {
    return whole == 0 ? "-" : String.format(Locale.ROOT, "%.2f", 100.0 * part / whole);
  }

  private static String decimal(double value) {
    return String.format(Locale.ROOT, "%.1f", value);
  }
}
