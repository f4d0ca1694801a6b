package org.cowslipstair.experiments.plan;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.UnaryOperator;
import org.cowslipstair.experiments.fleet.Deployment;
import org.cowslipstair.experiments.fleet.EventLoopFleet;
import org.cowslipstair.experiments.fleet.TrialFleet;
import org.cowslipstair.gateway.GatewayProcess;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.Service;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.port.StoreException;
import org.cowslipstair.standins.backend.BackendBehaviour;
import org.cowslipstair.standins.backend.BackendServerStandin;
import org.cowslipstair.standins.backend.Noise;
import org.cowslipstair.standins.backend.Overload;

/** Carries out a scenario on a fleet: once when a phase starts, again in its course, and back. */
final class ScenarioEvents {
  private static final Noise NEIGHBOUR = new Noise(180, 60, 3);
  private static final Noise BUSY_HOST = new Noise(600, 150, 5);
  private static final Overload STEEP_AND_SILENT = new Overload(0.8, 1.7, true);
  private static final int SHORT_QUEUE = 6;
  private static final int EVERY_NOISY = 3;
  private static final double SLOW_FACTOR = 10;
  private static final long ZONE_GRACE_MS = 4_000;
  private static final long AWAY_MS = 2_000;

  private final Scenario scenario;
  private final TrialFleet fleet;
  private final Optional<EventLoopFleet> eventLoop;
  private final ZoneName zone;

  /**
   * Creates the events of a phase.
   *
   * @param eventLoop gateways on event loops; empty if others carry the calls of the phase
   */
  ScenarioEvents(Scenario scenario, TrialFleet fleet, Optional<EventLoopFleet> eventLoop) {
    this.scenario = scenario;
    this.fleet = fleet;
    this.eventLoop = eventLoop;
    this.zone = fleet.deployment().zones().getLast();
  }

  /** Prepares a phase. */
  void before() {
    if (scenario == Scenario.SHIFTING) {
      List<BackendServer> all = fleet.deployment().backends();
      for (int i = 0; i < all.size(); i += EVERY_NOISY) {
        change(all.get(i), old -> old.withNoise(NEIGHBOUR));
      }
    }
    if (scenario == Scenario.BUSY_HOSTS) {
      for (BackendServer backend : fleet.deployment().backends()) {
        change(
            backend,
            old ->
                old.withNoise(BUSY_HOST).withOverload(STEEP_AND_SILENT).withMaxQueue(SHORT_QUEUE));
      }
    }
  }

  /** Lets the event of the scenario happen; returns after its part of the phase. */
  void during(long phaseMs)
      throws StoreException, InterruptedException, IOException, TimeoutException {
    long thirdMs = phaseMs / 3;
    switch (scenario) {
      case STEADY, SHIFTING, BUSY_HOSTS -> {}
      case SLOW_BACKEND -> disturb(thirdMs, old -> old.withSlowFactor(SLOW_FACTOR));
      case SHEDDING -> disturb(thirdMs, old -> old.withShedding(true));
      case COLD_FALL ->
          firstOfEach(backend -> standin(backend).ifPresent(s -> s.goCold()), thirdMs);
      case ZONE_OUT -> {
        fleet.markZone(zone, ZONE_GRACE_MS);
        setZoneOut(true);
        TimeUnit.MILLISECONDS.sleep(thirdMs + ZONE_GRACE_MS);
        fleet.clearMarks();
        setZoneOut(false);
      }
      case BROKER_STOP -> replaceGateway(true);
      default -> replaceGateway(false);
    }
  }

  private void setZoneOut(boolean isOut) throws StoreException {
    fleet.setZoneOut(zone, isOut);
    eventLoop.ifPresent(gateways -> gateways.setZoneOut(zone, isOut));
  }

  /** Puts everything back. */
  void after() {
    for (BackendServer backend : fleet.deployment().backends()) {
      change(
          backend,
          old ->
              old.withNoise(Noise.none())
                  .withOverload(Overload.none())
                  .withMaxQueue(-1)
                  .withSlowFactor(1)
                  .withShedding(false));
      standin(backend).ifPresent(BackendServerStandin::becomeWarm);
    }
  }

  /** An action on one backend server. */
  private interface BackendAction {
    void on(BackendServer backend);
  }

  private void disturb(long forMs, UnaryOperator<BackendBehaviour> change)
      throws InterruptedException {
    firstOfEach(backend -> change(backend, change), forMs);
    after();
  }

  private void firstOfEach(BackendAction action, long forMs) throws InterruptedException {
    Deployment deployment = fleet.deployment();
    for (Service service : deployment.services()) {
      action.on(deployment.backendsOf(service).getFirst());
    }
    TimeUnit.MILLISECONDS.sleep(forMs);
  }

  private void replaceGateway(boolean planned)
      throws InterruptedException, IOException, TimeoutException {
    if (eventLoop.isPresent()) {
      eventLoop.get().replaceOne(planned);
      return;
    }
    GatewayProcess broker = busiestBroker();
    GatewayName name = broker.instance().name();
    ZoneName home = broker.instance().zone();
    if (planned) {
      fleet.stopGateway(name);
    } else {
      fleet.killGateway(name);
    }
    TimeUnit.MILLISECONDS.sleep(AWAY_MS);
    fleet.restartGateway(name, home);
    fleet.awaitReady();
  }

  /** Returns the gateway that brokers the most pools. */
  private GatewayProcess busiestBroker() {
    GatewayProcess busiest = fleet.gateways().values().iterator().next();
    int most = -1;
    for (GatewayProcess gateway : fleet.gateways().values()) {
      int pools = gateway.state().leases().brokers().size();
      if (pools > most) {
        busiest = gateway;
        most = pools;
      }
    }
    return busiest;
  }

  private Optional<BackendServerStandin> standin(BackendServer backend) {
    return Optional.ofNullable(fleet.backends().get(backend.name()));
  }

  private void change(BackendServer backend, UnaryOperator<BackendBehaviour> change) {
    standin(backend).ifPresent(found -> found.setBehaviour(change.apply(found.behaviour())));
  }
}
