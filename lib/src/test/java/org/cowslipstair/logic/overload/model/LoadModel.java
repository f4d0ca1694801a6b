package org.cowslipstair.logic.overload.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * A service of the large deployment under a pattern of load: 152 gateways in five zones, 97 backend
 * servers, callers that return twice at most and honor Retry-After. The gateways make the product's
 * decisions; network, processes and clocks are virtual.
 */
final class LoadModel {
  private static final int ZONES = 5;
  private static final int GATEWAYS = 152;
  private static final int SERVERS = 97;
  private static final double RETRY_SLACK = 230;
  private static final long CALLER_TIME_MS = 5_000;
  private static final long TARGET_MS = 400;
  private static final int MAX_RETURNS = 2;
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
    for (int i = 0; i < SERVERS; i++) {
      servers.add(new ModelServer(i, i % ZONES, pattern, simulation));
    }
    for (int zone = 0; zone < ZONES; zone++) {
      gatewaysByZone.add(new ArrayList<>());
    }
    for (int i = 0; i < GATEWAYS; i++) {
      gatewaysByZone
          .get(i % ZONES)
          .add(
              new ModelGateway(
                  i, i % ZONES, GATEWAYS, RETRY_SLACK, servers, simulation, policy, result));
    }
  }

  static Result play(Pattern pattern, Policy policy, long seed) {
    LoadModel model = new LoadModel(pattern, policy, seed);
    model.simulation.schedule(0, model::onArrival);
    model.simulation.run(Pattern.END_MS + CALLER_TIME_MS);
    return model.result;
  }

  private void onArrival() {
    if (simulation.nowMs() >= Pattern.END_MS) {
      return;
    }
    boolean isTrouble = Pattern.isTrouble(simulation.nowMs());
    double rate = pattern.requestsPerSecond() * (isTrouble ? pattern.burstFactor() : 1);
    int zone = random.nextInt(ZONES);
    boolean isMoved = isTrouble && random.nextDouble() < pattern.movedShare();
    new Caller(isMoved ? 0 : zone, isTrouble).send();
    simulation.schedule(
        Math.round(-Math.log(1 - random.nextDouble()) * 1_000 / rate), this::onArrival);
  }

  private final class Caller implements ModelGateway.Listener {
    private final int zone;
    private final boolean isCounted;
    private final long startMs = simulation.nowMs();
    private int returns;

    Caller(int zone, boolean isCounted) {
      this.zone = zone;
      this.isCounted = isCounted;
      result.callers += isCounted ? 1 : 0;
    }

    void send() {
      List<ModelGateway> gateways = gatewaysByZone.get(zone);
      long remainingMs = CALLER_TIME_MS - (simulation.nowMs() - startMs);
      gateways.get(random.nextInt(gateways.size())).handle(remainingMs, this);
    }

    @Override
    public void onServed() {
      boolean isInTime = simulation.nowMs() - startMs <= TARGET_MS;
      result.inTime += isCounted && isInTime ? 1 : 0;
      result.late += isCounted && !isInTime ? 1 : 0;
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
      long remainingMs = CALLER_TIME_MS - (simulation.nowMs() - startMs);
      if (returns < MAX_RETURNS && remainingMs > delayMs + TARGET_MS) {
        returns++;
        simulation.schedule(delayMs + CONNECT_MS, this::send);
      } else {
        result.failed += isCounted ? 1 : 0;
      }
    }
  }
}
