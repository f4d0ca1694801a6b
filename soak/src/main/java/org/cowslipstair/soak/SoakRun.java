package org.cowslipstair.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.soak.check.Calm;
import org.cowslipstair.soak.check.FleetChecks;
import org.cowslipstair.soak.check.Ledger;
import org.cowslipstair.soak.check.Violations;
import org.cowslipstair.soak.fault.FaultPlan;
import org.cowslipstair.soak.fault.FaultRun;
import org.cowslipstair.soak.fleet.Caller;
import org.cowslipstair.soak.fleet.Fleet;
import org.cowslipstair.soak.fleet.GatewayProcess;
import org.cowslipstair.soak.fleet.SystemUnderTest;

/** One run of the soak: starts the fleet, sends requests, brings faults about, and checks. */
public final class SoakRun {
  private static final long NS_PER_MS = 1_000_000L;
  private static final long READY_MS = 30_000;
  private static final long REPORT_MS = 3_000;

  /** Time without new faults at the end; the longest fault, recovery, and a last look. */
  private static final long QUIET_MS = 9_000;

  private static final long LAST_LOOK_MS = 1_500;
  private static final double SERVED_AT_END = 0.5;

  private final SystemUnderTest system;
  private final Plan plan;
  private final Path directory;

  /**
   * What to run.
   *
   * @param lengthMs time in which faults begin
   * @param hasFaults whether faults come at all
   * @param isTimed whether time bounds are checked; a busy machine may break them
   */
  public record Plan(
      long seed, long lengthMs, int gateways, int callers, boolean hasFaults, boolean isTimed) {}

  /** What was found. */
  public record Report(List<String> violations, String counts) {}

  /** Creates a run; logs and settings go into the directory. */
  public SoakRun(SystemUnderTest system, Plan plan, Path directory) {
    this.system = system;
    this.plan = plan;
    this.directory = directory;
  }

  /** Runs. */
  public Report run() throws IOException, InterruptedException {
    Bounds bounds = Bounds.usual();
    Violations violations = new Violations(System.nanoTime());
    Ledger ledger = new Ledger(violations);
    Calm calm = new Calm(bounds.contactMs());
    Calm unplanned = new Calm(0);
    try (Fleet fleet = new Fleet(system, plan.gateways(), bounds, ledger, violations, directory)) {
      awaitReady(fleet, violations);
      long startNs = System.nanoTime();
      long endNs = startNs + (plan.lengthMs() + QUIET_MS) * NS_PER_MS;
      List<Thread> threads = callers(fleet, ledger, violations, unplanned, endNs);
      FaultRun faults = new FaultRun(fleet, calm, unplanned, violations, plan.isTimed());
      threads.add(Thread.ofVirtual().start(() -> report(fleet, endNs)));
      for (FaultPlan.Planned planned :
          plan.hasFaults()
              ? FaultPlan.draw(plan.seed(), plan.lengthMs())
              : List.<FaultPlan.Planned>of()) {
        threads.add(Thread.ofVirtual().start(() -> later(planned, faults, startNs)));
      }
      for (Thread thread : threads) {
        thread.join();
      }
      ledger.checkServedAfter(endNs - LAST_LOOK_MS * NS_PER_MS, SERVED_AT_END);
      ledger.checkRefusals();
      fleet.check(new FleetChecks(bounds, ledger, calm, violations), plan.isTimed());
      for (GatewayProcess gateway : fleet.gateways()) {
        gateway
            .ownViolations()
            .forEach(line -> violations.add(endNs, "own check of " + gateway.name(), line));
      }
    }
    return new Report(violations.texts(), ledger.counts());
  }

  private static void awaitReady(Fleet fleet, Violations violations) throws InterruptedException {
    long endNs = System.nanoTime() + READY_MS * NS_PER_MS;
    while (!fleet.gateways().stream().allMatch(g -> g.isInRotation() && g.version() > 0)) {
      if (System.nanoTime() > endNs) {
        violations.add(System.nanoTime(), "start", "not all daemons became ready");
        return;
      }
      TimeUnit.MILLISECONDS.sleep(50);
    }
  }

  private List<Thread> callers(
      Fleet fleet, Ledger ledger, Violations violations, Calm unplanned, long endNs) {
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < plan.callers(); i++) {
      Caller caller =
          new Caller(
              "c" + i,
              new Random(plan.seed() * 1_000 + i),
              system.names(),
              fleet.gateways(),
              ledger,
              violations,
              unplanned);
      threads.add(Thread.ofVirtual().start(() -> caller.run(endNs)));
    }
    return threads;
  }

  private static void report(Fleet fleet, long endNs) {
    try {
      while (System.nanoTime() < endNs) {
        TimeUnit.MILLISECONDS.sleep(REPORT_MS);
        fleet.reportAll();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void later(FaultPlan.Planned planned, FaultRun faults, long startNs) {
    try {
      long leftNs = startNs + planned.atMs() * NS_PER_MS - System.nanoTime();
      TimeUnit.NANOSECONDS.sleep(leftNs);
      faults.run(planned.fault());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
