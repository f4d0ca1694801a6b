package org.cowslipstair.experiments.demo;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.experiments.fleet.Balancer;
import org.cowslipstair.experiments.fleet.Loads;
import org.cowslipstair.experiments.fleet.TrialFleet;
import org.cowslipstair.experiments.load.HttpCallSender;
import org.cowslipstair.experiments.load.LoadPlan;
import org.cowslipstair.experiments.load.OpenLoopLoad;
import org.cowslipstair.experiments.load.ServiceResult;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.port.StoreException;

/** One run of the demo: load, events at fixed times, a table, and a verdict. */
final class Demo {
  static final long SERVICE_TIME_US = 50_000;

  private static final long WARM_UP_MS = 6_000;
  private static final long ZONE_OUT_MS = 10_000;
  private static final long ZONE_IN_MS = 22_000;
  private static final long COLD_START_MS = 30_000;
  private static final long PLANNED_STOP_MS = 36_000;
  private static final long END_MS = 46_000;
  private static final long ZONE_GRACE_MS = 4_000;
  private static final long CALL_TIMEOUT_MS = 5_000;
  private static final double NON_IDEMPOTENT_SHARE = 0.1;
  private static final int ANSWER_BYTES = 2_000;

  private final TrialFleet fleet;
  private final HttpCallSender sender;
  private final OpenLoopLoad load;
  private final ZoneName zone;
  private final long startNs = System.nanoTime();

  Demo(TrialFleet fleet, double utilization, long seed) {
    this.fleet = fleet;
    this.sender = new HttpCallSender(fleet.readyAddresses(), "demo", CALL_TIMEOUT_MS);
    LoadPlan plan =
        new LoadPlan(
            Loads.of(
                fleet.deployment(),
                utilization,
                SERVICE_TIME_US,
                NON_IDEMPOTENT_SHARE,
                ANSWER_BYTES),
            WARM_UP_MS,
            END_MS,
            CALL_TIMEOUT_MS,
            seed);
    this.load = new OpenLoopLoad(plan, sender);
    this.zone = fleet.deployment().zones().getLast();
  }

  boolean run() throws StoreException, InterruptedException {
    Balancer balancer = Balancer.start(fleet::readyAddresses, sender);
    Thread progress = Thread.ofVirtual().start(this::showProgress);
    Thread script = Thread.ofVirtual().start(this::runEvents);
    load.run();
    script.join();
    progress.interrupt();
    balancer.close();
    sender.close();
    DemoReport report = new DemoReport(fleet, load.results(), zone);
    System.out.println();
    System.out.print(report.table());
    load.results().values().stream()
        .flatMap(result -> result.failureCauses().entrySet().stream())
        .forEach(entry -> System.out.printf("%d x %s%n", entry.getValue(), entry.getKey()));
    Optional<String> broken = report.brokenPromise();
    System.out.println(broken.map(promise -> "demo: FAILED " + promise).orElse("demo: OK"));
    return broken.isEmpty();
  }

  private void runEvents() {
    try {
      waitUntil(ZONE_OUT_MS);
      fleet.markZone(zone, ZONE_GRACE_MS);
      fleet.setZoneOut(zone, true);
      say("zone \"%s\" is taken out".formatted(zone));
      waitUntil(ZONE_IN_MS);
      fleet.clearMarks();
      fleet.setZoneOut(zone, false);
      say("zone \"%s\" is brought back".formatted(zone));
      waitUntil(COLD_START_MS);
      BackendServer cold = fleet.deployment().backends().getFirst();
      fleet.backends().get(cold.name()).goCold();
      say("backend server \"%s\" falls into a cold start".formatted(cold.name()));
      waitUntil(PLANNED_STOP_MS);
      GatewayName stopping =
          fleet.gateways().keySet().stream().min(Comparator.naturalOrder()).orElseThrow();
      say("gateway \"%s\" is stopped".formatted(stopping));
      fleet.stopGateway(stopping);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (StoreException e) {
      say("event failed: " + e.getMessage());
    }
  }

  private void waitUntil(long atMs) throws InterruptedException {
    long leftNs = startNs + TimeUnit.MILLISECONDS.toNanos(atMs) - System.nanoTime();
    TimeUnit.NANOSECONDS.sleep(Math.max(0, leftNs));
  }

  private void showProgress() {
    try {
      while (true) {
        TimeUnit.SECONDS.sleep(2);
        Map<String, ServiceResult> results = load.results();
        long calls = results.values().stream().mapToLong(ServiceResult::calls).sum();
        long answered = results.values().stream().mapToLong(ServiceResult::answered).sum();
        say("%d calls, %d answered".formatted(calls, answered));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void say(String text) {
    long elapsedS = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - startNs);
    System.out.printf("%3d s  %s%n", elapsedS, text);
  }
}
