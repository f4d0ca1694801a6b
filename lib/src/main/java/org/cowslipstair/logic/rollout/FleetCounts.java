package org.cowslipstair.logic.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Sum of the reports of all gateways about one rollout. A gateway that has restarted counts from
 * zero; what its earlier process has reported stays in the sum. Not thread-safe.
 */
public final class FleetCounts {
  private final Map<Process, Received> reports = new HashMap<>();

  private record Process(String gateway, long boot) {}

  private record Received(RolloutReport report, long atNs) {}

  /** Adds a report; one that is older than the last one of its process is ignored. */
  public void record(RolloutReport report, long nowNs) {
    Process process = new Process(report.gateway(), report.boot());
    Received last = reports.get(process);
    if (last == null || last.report.ageMs() <= report.ageMs()) {
      reports.put(process, new Received(report, nowNs));
    }
  }

  /** Returns the outcomes of all sends by route. */
  public Map<String, RouteCounts> routes() {
    Map<String, RouteCounts> sums = new HashMap<>();
    for (Received received : reports.values()) {
      received.report.routes().forEach((route, c) -> sums.merge(route, c, RouteCounts::plus));
    }
    return sums;
  }

  /** Returns the longest time for which any gateway has known the order. */
  public long ageMs(long nowNs) {
    return reports.values().stream()
        .mapToLong(received -> received.report.ageMs() + (nowNs - received.atNs) / 1_000_000)
        .max()
        .orElse(0);
  }

  /** Returns whether any gateway knows a server of the new version. */
  public boolean hasTarget() {
    return reports.values().stream().anyMatch(received -> received.report.hasTarget());
  }

  /**
   * Returns whether no request runs on another version at any of the gateways that report.
   *
   * @param gateways gateways from which a report is expected
   * @param maxAgeNs age above which the last report of a gateway says nothing any more
   */
  public boolean isDrained(Collection<String> gateways, long nowNs, long maxAgeNs) {
    for (String gateway : gateways) {
      Optional<Received> last = lastOf(gateway);
      boolean isRecent = last.isPresent() && nowNs - last.get().atNs < maxAgeNs;
      if (!isRecent || !last.get().report.isDrained()) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns whether more than half of the gateways have reported lately. Without that, another
   * gateway may decide the same order from other reports.
   */
  public boolean hasMajority(Collection<String> gateways, long nowNs, long maxAgeNs) {
    long reporting =
        gateways.stream()
            .filter(gateway -> lastOf(gateway).filter(r -> nowNs - r.atNs < maxAgeNs).isPresent())
            .count();
    return 2 * reporting > gateways.size();
  }

  private Optional<Received> lastOf(String gateway) {
    Received last = null;
    for (Map.Entry<Process, Received> entry : reports.entrySet()) {
      boolean isLater = last == null || entry.getValue().atNs > last.atNs;
      if (entry.getKey().gateway.equals(gateway) && isLater) {
        last = entry.getValue();
      }
    }
    return Optional.ofNullable(last);
  }
}
