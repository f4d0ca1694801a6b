package org.cowslipstair.experiments.plan;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.cowslipstair.adapters.settings.InvalidFileException;
import org.cowslipstair.experiments.TrialException;
import org.cowslipstair.experiments.fleet.Balancer;
import org.cowslipstair.experiments.fleet.Deployment;
import org.cowslipstair.experiments.fleet.EventLoopFleet;
import org.cowslipstair.experiments.fleet.Loads;
import org.cowslipstair.experiments.fleet.TrialFleet;
import org.cowslipstair.experiments.load.HttpCallSender;
import org.cowslipstair.experiments.load.LoadPlan;
import org.cowslipstair.experiments.load.OpenLoopLoad;
import org.cowslipstair.model.config.ConfigObject;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.Service;
import org.cowslipstair.port.StoreException;
import org.cowslipstair.standins.backend.ServiceTime;

/** Runs an experiment on one fleet, whose policy changes from phase to phase. */
final class ExperimentRun {
  private static final long CALL_TIMEOUT_MS = 5_000;
  private static final int ANSWER_BYTES = 500;
  private static final long FIRST_WARM_UP_MS = 12_000;
  private static final long QUIET_MS = 500;

  private final Experiment experiment;
  private final TrialFleet fleet;
  private final Optional<EventLoopFleet> eventLoop;
  private final int gatewayCount;
  private int phases;

  /** Figures of all variants in one scenario at one utilization. */
  record Comparison(
      Scenario scenario, int utilizationPercent, Map<Variant, VariantResult> results) {}

  /** Receives each comparison when it is complete. */
  interface Listener {
    void completed(Comparison comparison) throws IOException;
  }

  private ExperimentRun(
      Experiment experiment, TrialFleet fleet, Optional<EventLoopFleet> eventLoop) {
    this.experiment = experiment;
    this.fleet = fleet;
    this.eventLoop = eventLoop;
    this.gatewayCount = experiment.gateways();
  }

  static void run(Experiment experiment, Listener listener)
      throws TrialException, InterruptedException {
    ServiceTime serviceTime = ServiceTime.exponential(experiment.serviceTimeUs());
    try (TrialFleet fleet =
        TrialFleet.start(
            Deployment.example(experiment.deployment()),
            experiment.gateways(),
            serviceTime,
            experiment.seed())) {
      if (experiment.variants().stream().noneMatch(Variant.EventLoop.class::isInstance)) {
        new ExperimentRun(experiment, fleet, Optional.empty()).runAll(listener);
        return;
      }
      try (EventLoopFleet eventLoop =
          EventLoopFleet.start(
              fleet.deployment(),
              experiment.gateways(),
              experiment.eventLoopProbesPerSecond(),
              experiment.seed())) {
        new ExperimentRun(experiment, fleet, Optional.of(eventLoop)).runAll(listener);
      }
    } catch (IOException | InvalidFileException | StoreException | TimeoutException e) {
      throw new TrialException(experiment.name(), e);
    }
  }

  private void runAll(Listener listener)
      throws StoreException, InterruptedException, IOException, TimeoutException {
    warmUp();
    for (Scenario scenario : experiment.scenarios()) {
      for (int percent : experiment.utilizationPercents()) {
        listener.completed(compare(scenario, percent));
      }
    }
  }

  /** Lets the compiler of the virtual machine see every policy before anything is measured. */
  private void warmUp() throws StoreException, InterruptedException, IOException, TimeoutException {
    VariantResult unused = newResult();
    for (Variant variant : experiment.variants()) {
      long phaseMs = FIRST_WARM_UP_MS / experiment.variants().size();
      phase(Scenario.STEADY, experiment.utilizationPercents().getFirst(), variant, phaseMs, unused);
    }
  }

  private Comparison compare(Scenario scenario, int percent)
      throws StoreException, InterruptedException, IOException, TimeoutException {
    Map<Variant, VariantResult> results = new LinkedHashMap<>();
    for (int round = 0; round < experiment.rounds(); round++) {
      for (Variant variant : experiment.variants()) {
        VariantResult result = results.computeIfAbsent(variant, _ -> newResult());
        phase(scenario, percent, variant, experiment.phaseMs(), result);
      }
    }
    return new Comparison(scenario, percent, results);
  }

  private VariantResult newResult() {
    return new VariantResult(fleet.backends().size(), gatewayCount);
  }

  private void phase(
      Scenario scenario, int percent, Variant variant, long phaseMs, VariantResult result)
      throws StoreException, InterruptedException, IOException, TimeoutException {
    usePolicy(variant);
    Optional<EventLoopFleet> used = eventLoop.filter(_ -> variant instanceof Variant.EventLoop);
    Supplier<List<HostPort>> readyAddresses =
        () -> used.map(EventLoopFleet::readyAddresses).orElseGet(fleet::readyAddresses);
    ScenarioEvents events = new ScenarioEvents(scenario, fleet, used);
    events.before();
    phases++;
    HttpCallSender sender =
        new HttpCallSender(readyAddresses.get(), experiment.name() + "-" + phases, CALL_TIMEOUT_MS);
    OpenLoopLoad load = new OpenLoopLoad(plan(percent, phaseMs), sender);
    AtomicReference<Exception> failure = new AtomicReference<>();
    Balancer balancer = Balancer.start(readyAddresses, sender);
    LimitSampler sampler = new LimitSampler(fleet);
    Thread sampling = Thread.ofPlatform().daemon().start(sampler);
    Thread script = Thread.ofVirtual().start(() -> runEvents(events, phaseMs, failure));
    FleetCounts before = FleetCounts.of(fleet, used);
    long startNs = System.nanoTime();
    load.run();
    script.join();
    balancer.close();
    sampling.interrupt();
    result.add(
        load.results().values(),
        sampler.means(),
        FleetCounts.of(fleet, used).minus(before),
        System.nanoTime() - startNs);
    sender.close();
    events.after();
    if (failure.get() != null) {
      throw new IOException("scenario \"%s\" failed".formatted(scenario), failure.get());
    }
    fleet.awaitReady();
    TimeUnit.MILLISECONDS.sleep(QUIET_MS);
  }

  private LoadPlan plan(int percent, long phaseMs) {
    return new LoadPlan(
        Loads.of(
            fleet.deployment(),
            percent / 100.0,
            experiment.serviceTimeUs(),
            experiment.nonIdempotentShare(),
            ANSWER_BYTES),
        experiment.settleMs(),
        phaseMs,
        CALL_TIMEOUT_MS,
        experiment.seed() + phases);
  }

  private void usePolicy(Variant variant)
      throws StoreException, InterruptedException, TimeoutException {
    if (!(variant instanceof Variant.Policy(var policy, boolean hedging))) {
      return;
    }
    Deployment changed = fleet.deployment().withPolicy(policy, hedging);
    for (ConfigObject object : changed.objects()) {
      if (object instanceof Service) {
        fleet.write(object);
      }
    }
    fleet.awaitReady();
  }

  private void runEvents(ScenarioEvents events, long phaseMs, AtomicReference<Exception> failure) {
    try {
      TimeUnit.MILLISECONDS.sleep(experiment.settleMs() + (phaseMs - experiment.settleMs()) / 6);
      events.during(phaseMs - experiment.settleMs());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (StoreException | IOException | TimeoutException e) {
      failure.set(e);
    }
  }
}
