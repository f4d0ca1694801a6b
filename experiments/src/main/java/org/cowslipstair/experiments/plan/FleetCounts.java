package org.cowslipstair.experiments.plan;

import java.util.Optional;
import org.cowslipstair.experiments.fleet.EventLoopFleet;
import org.cowslipstair.experiments.fleet.TrialFleet;
import org.cowslipstair.gateway.GatewayProcess;
import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.standins.backend.BackendCounts;
import org.cowslipstair.standins.backend.BackendServerStandin;

/** Counts over a whole fleet, which differ between the start and the end of a phase. */
record FleetCounts(
    long calls,
    long overSlots,
    long overCold,
    long overColdLate,
    long afterMark,
    long probes,
    long controlBytes,
    long violations,
    long controlCpuNs) {
  static FleetCounts of(TrialFleet fleet, Optional<EventLoopFleet> eventLoop) {
    long eventLoopViolations = eventLoop.map(EventLoopFleet::violations).orElse(0L);
    FleetCounts sum = new FleetCounts(0, 0, 0, 0, 0, 0, 0, eventLoopViolations, 0);
    for (BackendServerStandin backend : fleet.backends().values()) {
      BackendCounts counts = backend.counts();
      sum =
          sum.plus(
              new FleetCounts(
                  counts.calls(),
                  counts.overSlots(),
                  counts.overColdCapacity(),
                  counts.overColdCapacityLate(),
                  counts.afterMark(),
                  counts.probes(),
                  0,
                  0,
                  0));
    }
    for (GatewayProcess gateway : fleet.gateways().values()) {
      long violations = 0;
      for (Invariant invariant : Invariant.values()) {
        violations += gateway.runtime().invariantMonitor().violationCount(invariant);
      }
      long bytes = gateway.peerTraffic().bytesOut();
      long cpuNs = gateway.runtime().controlCpuTimeNs();
      sum = sum.plus(new FleetCounts(0, 0, 0, 0, 0, 0, bytes, violations, cpuNs));
    }
    return sum;
  }

  FleetCounts plus(FleetCounts other) {
    return new FleetCounts(
        calls + other.calls,
        overSlots + other.overSlots,
        overCold + other.overCold,
        overColdLate + other.overColdLate,
        afterMark + other.afterMark,
        probes + other.probes,
        controlBytes + other.controlBytes,
        violations + other.violations,
        controlCpuNs + other.controlCpuNs);
  }

  FleetCounts minus(FleetCounts earlier) {
    return new FleetCounts(
        calls - earlier.calls,
        overSlots - earlier.overSlots,
        overCold - earlier.overCold,
        overColdLate - earlier.overColdLate,
        afterMark - earlier.afterMark,
        probes - earlier.probes,
        controlBytes - earlier.controlBytes,
        violations - earlier.violations,
        controlCpuNs - earlier.controlCpuNs);
  }
}
