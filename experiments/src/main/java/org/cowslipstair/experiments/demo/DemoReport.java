package org.cowslipstair.experiments.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.cowslipstair.experiments.fleet.TrialFleet;
import org.cowslipstair.experiments.load.ServiceResult;
import org.cowslipstair.experiments.report.TextTable;
import org.cowslipstair.gateway.GatewayProcess;
import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.Service;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.standins.backend.BackendCounts;
import org.cowslipstair.standins.backend.BackendServerStandin;

/** Table and verdict of a demo. */
final class DemoReport {
  private final TrialFleet fleet;
  private final Map<String, ServiceResult> results;
  private final ZoneName zone;

  DemoReport(TrialFleet fleet, Map<String, ServiceResult> results, ZoneName zone) {
    this.fleet = fleet;
    this.results = results;
    this.zone = zone;
  }

  /** Returns a row for each service. */
  String table() {
    TextTable callers =
        new TextTable(
            "service",
            "calls",
            "answered",
            "not run",
            "may have run",
            "failed",
            "wrong bodies",
            "p50 ms",
            "p99 ms",
            "p99.9 ms",
            "p99 added ms");
    TextTable backends =
        new TextTable(
            "service",
            "probes/s/backend",
            "budget",
            "most at once",
            "slots",
            "over slots",
            "over cold limit",
            "late in zone out",
            "ran twice");
    for (Service service : fleet.deployment().services()) {
      ServiceResult result = results.get(service.name().value());
      if (result != null) {
        callers.add(callerRow(service.name().value(), result));
      }
      backends.add(backendRow(service));
    }
    return callers.render() + System.lineSeparator() + backends.render();
  }

  private static String[] callerRow(String service, ServiceResult result) {
    return new String[] {
      service,
      Long.toString(result.calls()),
      Long.toString(result.answered()),
      Long.toString(result.notRun()),
      Long.toString(result.mayHaveRun()),
      Long.toString(result.connectionFailures() + result.unreachable()),
      Long.toString(result.wrongBodies()),
      decimal(result.totalMs(50)),
      decimal(result.totalMs(99)),
      decimal(result.totalMs(99.9)),
      decimal(result.addedMs(99))
    };
  }

  private String[] backendRow(Service service) {
    List<BackendCounts> counts = counts(service);
    int slots =
        fleet.deployment().backendsOf(service).stream()
            .mapToInt(BackendServer::slots)
            .max()
            .orElse(0);
    return new String[] {
      service.name().value(),
      Long.toString(counts.stream().mapToLong(BackendCounts::mostProbesPerSecond).max().orElse(0)),
      decimal(service.probesPerSecond()),
      Long.toString(counts.stream().mapToLong(BackendCounts::mostInFlight).max().orElse(0)),
      Integer.toString(slots),
      Long.toString(counts.stream().mapToLong(BackendCounts::overSlots).sum()),
      Long.toString(counts.stream().mapToLong(BackendCounts::overColdCapacityLate).sum()),
      Long.toString(counts.stream().mapToLong(BackendCounts::afterMark).sum()),
      Integer.toString(fleet.runs().nonIdempotentRepeats().size())
    };
  }

  private List<BackendCounts> counts(Service service) {
    List<BackendCounts> counts = new ArrayList<>();
    for (BackendServer backend : fleet.deployment().backendsOf(service)) {
      BackendServerStandin standin = fleet.backends().get(backend.name());
      if (standin != null) {
        counts.add(standin.counts());
      }
    }
    return counts;
  }

  private static String decimal(double value) {
    return String.format(Locale.ROOT, "%.1f", value);
  }

  /** Returns the first promise that did not hold. */
  Optional<String> brokenPromise() {
    for (Service service : fleet.deployment().services()) {
      Optional<String> broken = brokenPromise(service);
      if (broken.isPresent()) {
        return broken;
      }
    }
    if (!fleet.runs().nonIdempotentRepeats().isEmpty()) {
      return Optional.of("a non-idempotent request runs at most once");
    }
    return violated();
  }

  private Optional<String> brokenPromise(Service service) {
    List<BackendCounts> counts = counts(service);
    ServiceResult result = results.get(service.name().value());
    if (result == null || result.answered() == 0) {
      return Optional.of("callers of service \"%s\" get answers".formatted(service.name()));
    }
    if (result.wrongBodies() > 0) {
      return Optional.of("each caller gets the whole answer to its own request");
    }
    if (counts.stream().anyMatch(count -> count.afterMark() > 0)) {
      return Optional.of("zone \"%s\" gets no new work once it is out".formatted(zone));
    }
    if (counts.stream().anyMatch(count -> count.overColdCapacityLate() > 0)) {
      return Optional.of("a cold backend server gets no more than it can bear");
    }
    if (counts.stream().anyMatch(c -> c.mostProbesPerSecond() > service.probesPerSecond())) {
      return Optional.of("measuring load stays within its budget");
    }
    if (result.connectionFailures() + result.unreachable() > 0) {
      return Optional.of("a planned stop cuts off no call");
    }
    return Optional.empty();
  }

  private Optional<String> violated() {
    for (GatewayProcess gateway : fleet.gateways().values()) {
      for (Invariant invariant : Invariant.values()) {
        if (gateway.runtime().invariantMonitor().violationCount(invariant) > 0) {
          return Optional.of("invariant " + invariant);
        }
      }
    }
    return Optional.empty();
  }
}
