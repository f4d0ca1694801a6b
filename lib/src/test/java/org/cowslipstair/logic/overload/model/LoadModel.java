package org.cowslipstair.logic.overload.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * One service of a deployment under a pattern of load; callers return as often as their demand says
 * and honor Retry-After. The gateways make the product's decisions; network, processes and clocks
 * are virtual.
 */
final class LoadModel {
  private static final long CONNECT_MS = 2;

  private final Simulation simulation = new Simulation();
  private final Result result = new Result();
  private final Random random;
  private final Pattern pattern;
  private final List<List<ModelGateway>> gatewaysByZone = new ArrayList<>();

  private LoadModel(Pattern pattern, Policy policy, long seed) {
    this.pattern = pattern;
    this.random = new Random(seed);
    List<ModelServer> servers = new ArrayList<>();
    Fleet fleet = pattern.fleet();
    for (int i = 0; i < fleet.servers(); i++) {
      servers.add(new ModelServer(i, i % fleet.zones(), pattern, simulation));
    }
    for (int zone = 0; zone < fleet.zones(); zone++) {
      gatewaysByZone.add(new ArrayList<>());
    }
    for (int i = 0; i < fleet.gateways(); i++) {
      gatewaysByZone
          .get(i % fleet.zones())
          .add(new ModelGateway(i, i % fleet.zones(), fleet, servers, simulation, policy, result));
    }
  }

  static Result play(Pattern pattern, Policy policy, long seed) {
    LoadModel model = new LoadModel(pattern, policy, seed);
    long lastMs = Pattern.END_MS;
    for (Pattern.Stream stream : pattern.streams()) {
      model.simulation.schedule(0, () -> model.onArrival(stream));
      lastMs = Math.max(lastMs, Pattern.END_MS + stream.demand().callerMs());
    }
    model.simulation.run(lastMs);
    return model.result;
  }

  private void onArrival(Pattern.Stream stream) {
    if (simulation.nowMs() >= Pattern.END_MS) {
      return;
    }
    boolean isTrouble = Pattern.isTrouble(simulation.nowMs());
    double rate = stream.requestsPerSecond() * (isTrouble ? stream.burstFactor() : 1);
    int zone = random.nextInt(pattern.fleet().zones());
    boolean isMoved = isTrouble && random.nextDouble() < pattern.movedShare();
    new Caller(stream.demand(), isMoved ? 0 : zone, isTrouble).send();
    simulation.schedule(
        Math.round(-Math.log(1 - random.nextDouble()) * 1_000 / rate), () -> onArrival(stream));
  }

  private final class Caller implements ModelGateway.Listener {
    private final Demand demand;
    private final int zone;
    private final Result.Counts counts;
    private final long startMs = simulation.nowMs();
    private int returns;

    Caller(Demand demand, int zone, boolean isCounted) {
      this.demand = demand;
      this.zone = zone;
      this.counts = isCounted ? result.counts(demand.route()) : new Result.Counts();
      counts.callers++;
    }

    void send() {
      List<ModelGateway> gateways = gatewaysByZone.get(zone);
      long remainingMs = demand.callerMs() - (simulation.nowMs() - startMs);
      gateways.get(random.nextInt(gateways.size())).handle(demand, remainingMs, this);
    }

    @Override
    public void onServed() {
      boolean isInTime = simulation.nowMs() - startMs <= demand.targetMs();
      counts.inTime += isInTime ? 1 : 0;
      counts.late += isInTime ? 0 : 1;
    }

    @Override
    public void onRefused(long returnDelayMs) {
      comeBack(returnDelayMs);
    }

    @Override
    public void onFailed() {
      comeBack(0);
    }

    private void comeBack(long delayMs) {
      long remainingMs = demand.callerMs() - (simulation.nowMs() - startMs);
      if (returns < demand.maxReturns() && remainingMs > delayMs + demand.targetMs()) {
        returns++;
        simulation.schedule(delayMs + CONNECT_MS, this::send);
      } else {
        counts.failed++;
      }
    }
  }
}
