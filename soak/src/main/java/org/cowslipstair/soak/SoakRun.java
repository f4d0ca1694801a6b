package org.cowslipstair.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.soak.check.DisturbanceLog;
import org.cowslipstair.soak.check.FleetChecks;
import org.cowslipstair.soak.check.RequestLog;
import org.cowslipstair.soak.check.Violations;
import org.cowslipstair.soak.fault.FaultInjector;
import org.cowslipstair.soak.fault.FaultPlan;
import org.cowslipstair.soak.fleet.Caller;
import org.cowslipstair.soak.fleet.Fleet;
import org.cowslipstair.soak.fleet.GatewayProcess;
import org.cowslipstair.soak.fleet.SystemUnderTest;

/**
 * One run of the soak: starts the fleet, sends requests, injects faults, and checks the results.
 */
public final class SoakRun {
  private static final long NS_PER_MS = 1_000_000L;
  private static final long READY_TIMEOUT_MS = 30_000;
  private static final long REPORT_INTERVAL_MS = 3_000;

  /** Time without new faults at the end: covers the longest fault, recovery and the final check. */
  private static final long QUIET_MS = 9_000;

  private static final long FINAL_CHECK_MS = 1_500;
  private static final double MIN_SERVED_SHARE_AT_END = 0.5;

  private final SystemUnderTest system;
  private final Plan plan;
  private final Path directory;

  /**
   * Parameters of a run.
   *
   * @param durationMs period in which faults start, in milliseconds
   * @param hasFaults whether faults are injected
   * @param checksTimeLimits whether time limits are checked; a busy machine may exceed them
   */
  public record Plan(
      long seed,
      long durationMs,
      int gateways,
      int callers,
      boolean hasFaults,
      boolean checksTimeLimits) {}

  /** Result of a run: the violations found, and a summary of the request counts. */
  public record Report(List<String> violations, String counts) {}

  /** Creates a run that writes logs and settings files to the directory. */
  public SoakRun(SystemUnderTest system, Plan plan, Path directory) {
    this.system = system;
    this.plan = plan;
    this.directory = directory;
  }

  /** Runs the soak to its end and returns the result. */
  public Report run() throws IOException, InterruptedException {
    Limits limits = Limits.defaults();
    Violations violations = new Violations(System.nanoTime());
    RequestLog requestLog = new RequestLog(violations);
    DisturbanceLog disturbanceLog = new DisturbanceLog(limits.settleMs());
    DisturbanceLog unplannedDisturbances = new DisturbanceLog(0);
    try (Fleet fleet =
        new Fleet(system, plan.gateways(), limits, requestLog, violations, directory)) {
      awaitReady(fleet, violations);
      long startNs = System.nanoTime();
      long endNs = startNs + (plan.durationMs() + QUIET_MS) * NS_PER_MS;
      List<Thread> threads =
          startCallers(fleet, requestLog, violations, unplannedDisturbances, endNs);
      FaultInjector faultInjector =
          new FaultInjector(
              fleet, disturbanceLog, unplannedDisturbances, violations, plan.checksTimeLimits());
      threads.add(Thread.ofVirtual().start(() -> writeReports(fleet, endNs)));
      for (FaultPlan.Planned planned :
          plan.hasFaults()
              ? FaultPlan.generate(plan.seed(), plan.durationMs())
              : List.<FaultPlan.Planned>of()) {
        threads.add(Thread.ofVirtual().start(() -> injectAt(planned, faultInjector, startNs)));
      }
      for (Thread thread : threads) {
        thread.join();
      }
      requestLog.checkServedAfter(endNs - FINAL_CHECK_MS * NS_PER_MS, MIN_SERVED_SHARE_AT_END);
      requestLog.checkNotRunReports();
      fleet.check(
          new FleetChecks(limits, requestLog, disturbanceLog, violations),
          unplannedDisturbances,
          plan.checksTimeLimits());
      for (GatewayProcess gateway : fleet.gateways()) {
        gateway
            .invariantViolationLines()
            .forEach(line -> violations.add(endNs, "own check of " + gateway.name(), line));
      }
    }
    return new Report(violations.texts(), requestLog.counts());
  }

  private static void awaitReady(Fleet fleet, Violations violations) throws InterruptedException {
    long endNs = System.nanoTime() + READY_TIMEOUT_MS * NS_PER_MS;
    while (!fleet.gateways().stream().allMatch(g -> g.isInRotation() && g.version() > 0)) {
      if (System.nanoTime() > endNs) {
        violations.add(System.nanoTime(), "start", "not all daemons became ready");
        return;
      }
      TimeUnit.MILLISECONDS.sleep(50);
    }
  }

  private List<Thread> startCallers(
      Fleet fleet,
      RequestLog requestLog,
      Violations violations,
      DisturbanceLog unplannedDisturbances,
      long endNs) {
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < plan.callers(); i++) {
      Caller caller =
          new Caller(
              "c" + i,
              new Random(plan.seed() * 1_000 + i),
              system.headerNames(),
              fleet.gateways(),
              requestLog,
              violations,
              unplannedDisturbances);
      threads.add(Thread.ofVirtual().start(() -> caller.run(endNs)));
    }
    return threads;
  }

  private static void writeReports(Fleet fleet, long endNs) {
    try {
      while (System.nanoTime() < endNs) {
        TimeUnit.MILLISECONDS.sleep(REPORT_INTERVAL_MS);
        fleet.writeAllReports();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void injectAt(
      FaultPlan.Planned planned, FaultInjector faultInjector, long startNs) {
    try {
      long delayNs = startNs + planned.atMs() * NS_PER_MS - System.nanoTime();
      TimeUnit.NANOSECONDS.sleep(delayNs);
      faultInjector.inject(planned.fault());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
