package org.cowslipstair.soak.fault;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.soak.check.DisturbanceLog;
import org.cowslipstair.soak.check.Violations;
import org.cowslipstair.soak.fleet.Backend;
import org.cowslipstair.soak.fleet.Fleet;
import org.cowslipstair.soak.fleet.GatewayProcess;
import org.cowslipstair.soak.fleet.StoreModel;
import org.cowslipstair.soak.net.FaultyLink;

/** Injects faults. Each call needs its own thread, as it returns only when its fault has ended. */
public final class FaultInjector {
  private static final long NS_PER_MS = 1_000_000L;
  private static final long RESTART_ALLOWANCE_MS = 3_000;
  private static final long APPLY_MARGIN_MS = 700;
  private static final long MAX_UNDISTURBED_WAIT_MS = 20_000;

  private final Fleet fleet;
  private final DisturbanceLog disturbanceLog;
  private final DisturbanceLog unplannedDisturbances;
  private final Violations violations;
  private final boolean checksTimeLimits;

  /**
   * Creates an injector.
   *
   * @param disturbanceLog records every disturbance of gateways, their links and the store
   * @param unplannedDisturbances records the disturbances of gateways other than planned stops
   * @param checksTimeLimits whether time limits are checked
   */
  public FaultInjector(
      Fleet fleet,
      DisturbanceLog disturbanceLog,
      DisturbanceLog unplannedDisturbances,
      Violations violations,
      boolean checksTimeLimits) {
    this.fleet = fleet;
    this.disturbanceLog = disturbanceLog;
    this.unplannedDisturbances = unplannedDisturbances;
    this.violations = violations;
    this.checksTimeLimits = checksTimeLimits;
  }

  /** Injects one fault and returns when it has ended. */
  public void inject(Fault fault) {
    try {
      apply(fault);
    } catch (IOException e) {
      violations.add(System.nanoTime(), "soak", fault + " failed: " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void apply(Fault fault) throws IOException, InterruptedException {
    switch (fault) {
      case Fault.Kill(int gateway) -> kill(List.of(gateway(gateway)));
      case Fault.KillMost(double share) -> {
        List<GatewayProcess> all = fleet.gateways();
        kill(all.subList(0, (int) Math.ceil(share * all.size())));
      }
      case Fault.Pause(int gateway, long forMs) -> pause(gateway(gateway), forMs);
      case Fault.Stop(int gateway) -> stop(gateway(gateway));
      case Fault.Reload(int gateway, boolean signalled) -> reload(gateway(gateway), signalled);
      case Fault.StoreLink(int gateway, FaultyLink.Condition condition, long forMs) ->
          applyLinkCondition(List.of(gateway(gateway).storeLink()), condition, forMs);
      case Fault.PeerLink(int gateway, FaultyLink.Condition condition, long forMs) ->
          partFromPeers(gateway(gateway), condition, forMs);
      case Fault.StoreAway(FaultyLink.Condition condition, long forMs) ->
          applyLinkCondition(
              fleet.gateways().stream().map(GatewayProcess::storeLink).toList(), condition, forMs);
      case Fault.StoreRefuses(long forMs) ->
          applyFor(
              forMs,
              () -> fleet.storeFaults().refuses = true,
              () -> fleet.storeFaults().refuses = false);
      case Fault.StoreLosesAnswers(long forMs) ->
          applyFor(
              forMs,
              () -> fleet.storeFaults().losesResponses = true,
              () -> fleet.storeFaults().losesResponses = false);
      case Fault.StoreForgets() -> applyFor(0, fleet::forgetHistory, () -> {});
      case Fault.StoreReturns(long copyAgeMs, long awayMs) -> returnStoreToCopy(copyAgeMs, awayMs);
      case Fault.BackendFault(int index, Backend.Fault backendFault, long forMs) -> {
        Backend backend = backend(index);
        backend.setFault(backendFault);
        TimeUnit.MILLISECONDS.sleep(forMs);
        backend.setFault(Backend.Fault.NONE);
      }
      case Fault.BackendLink(int index, FaultyLink.Condition condition, long forMs) -> {
        Backend backend = backend(index);
        backend.link().setCondition(condition);
        TimeUnit.MILLISECONDS.sleep(forMs);
        backend.link().setCondition(FaultyLink.Condition.GOOD);
      }
      case Fault.BackendCrash(int index) -> fleet.crash(backend(index));
      case Fault.BackendLeaves(int index) -> fleet.leave(backend(index));
      case Fault.BackendCold(int index) -> fleet.startCold(backend(index));
      case Fault.DeadlyRequest(int number, long forMs) ->
          fleet.returnDeadlyRequest(number, System.nanoTime() + forMs * NS_PER_MS);
      case Fault.ChangeConfiguration() -> checkInForce(fleet.changeConfiguration());
      case Fault.ChangeWhileSilent(int index, long forMs) -> changeWhileSilent(index, forMs);
      case Fault.OddEntry() -> fleet.writeOddEntry();
      case Fault.ZoneOut(String zone, long forMs) -> fleet.takeZoneOut(zone, forMs);
    }
  }

  private GatewayProcess gateway(int index) {
    return fleet.gateways().get(index % fleet.gateways().size());
  }

  private Backend backend(int index) {
    return fleet.backends().get(index % fleet.backends().size());
  }

  private void kill(List<GatewayProcess> gateways) throws IOException, InterruptedException {
    DisturbanceLog.Disturbance disturbance = disturbanceLog.recordStart(System.nanoTime());
    DisturbanceLog.Disturbance unplannedDisturbance =
        unplannedDisturbances.recordStart(System.nanoTime());
    for (GatewayProcess gateway : gateways) {
      gateway.signal("KILL");
    }
    TimeUnit.MILLISECONDS.sleep(RESTART_ALLOWANCE_MS);
    disturbance.recordEnd(System.nanoTime());
    unplannedDisturbance.recordEnd(System.nanoTime());
  }

  private void pause(GatewayProcess gateway, long forMs) throws IOException, InterruptedException {
    DisturbanceLog.Disturbance disturbance = disturbanceLog.recordStart(System.nanoTime());
    DisturbanceLog.Disturbance unplannedDisturbance =
        unplannedDisturbances.recordStart(System.nanoTime());
    gateway.signal("STOP");
    TimeUnit.MILLISECONDS.sleep(forMs);
    gateway.signal("CONT");
    disturbance.recordEnd(System.nanoTime());
    unplannedDisturbance.recordEnd(System.nanoTime());
  }

  private void stop(GatewayProcess gateway) throws IOException, InterruptedException {
    DisturbanceLog.Disturbance disturbance = disturbanceLog.recordStart(System.nanoTime());
    long pid = gateway.pid();
    gateway.signal("TERM");
    long endNs = System.nanoTime() + fleet.limits().graceMs() * NS_PER_MS;
    while (gateway.pid() == pid && System.nanoTime() < endNs) {
      TimeUnit.MILLISECONDS.sleep(50);
    }
    if (gateway.pid() == pid) {
      DisturbanceLog.Disturbance killDisturbance =
          unplannedDisturbances.recordStart(System.nanoTime());
      gateway.signal("KILL");
      killDisturbance.recordEnd(System.nanoTime());
      if (checksTimeLimits
          && unplannedDisturbances.isUndisturbed(
              endNs - fleet.limits().graceMs() * NS_PER_MS, endNs)) {
        violations.add(System.nanoTime(), "stop in time", gateway.name());
      }
    }
    TimeUnit.MILLISECONDS.sleep(RESTART_ALLOWANCE_MS);
    disturbance.recordEnd(System.nanoTime());
  }

  private void reload(GatewayProcess gateway, boolean signalled)
      throws IOException, InterruptedException {
    gateway.rewriteSettings(fleet.limits());
    if (signalled) {
      gateway.signal("HUP");
    }
  }

  private void applyLinkCondition(
      List<FaultyLink> links, FaultyLink.Condition condition, long forMs)
      throws InterruptedException {
    applyFor(
        forMs,
        () -> links.forEach(link -> link.setCondition(condition)),
        () -> links.forEach(link -> link.setCondition(FaultyLink.Condition.GOOD)));
  }

  /** Gateways that are not in touch cannot know what others have seen. */
  private void partFromPeers(GatewayProcess gateway, FaultyLink.Condition condition, long forMs)
      throws InterruptedException {
    DisturbanceLog.Disturbance unplannedDisturbance =
        unplannedDisturbances.recordStart(System.nanoTime());
    applyLinkCondition(List.of(gateway.peerLink()), condition, forMs);
    unplannedDisturbance.recordEnd(System.nanoTime());
  }

  private void returnStoreToCopy(long copyAgeMs, long awayMs) throws InterruptedException {
    StoreModel.Copy copy = fleet.storeCopy();
    TimeUnit.MILLISECONDS.sleep(copyAgeMs);
    DisturbanceLog.Disturbance disturbance = disturbanceLog.recordStart(System.nanoTime());
    List<FaultyLink> links = fleet.gateways().stream().map(GatewayProcess::storeLink).toList();
    links.forEach(link -> link.setCondition(FaultyLink.Condition.RESET));
    TimeUnit.MILLISECONDS.sleep(awayMs);
    fleet.returnStoreTo(copy);
    links.forEach(link -> link.setCondition(FaultyLink.Condition.GOOD));
    fleet.writeAgain();
    disturbance.recordEnd(System.nanoTime());
  }

  /**
   * Waits until nothing has been disturbed since a time, or for as long as a time limit. A change
   * that was missed during a disturbance has to be in force by then.
   */
  private boolean awaitUndisturbed(long sinceNs, long boundMs) throws InterruptedException {
    long endNs = sinceNs + MAX_UNDISTURBED_WAIT_MS * NS_PER_MS;
    long nowNs = System.nanoTime();
    while (!disturbanceLog.isUndisturbed(Math.max(sinceNs, nowNs - boundMs * NS_PER_MS), nowNs)) {
      if (nowNs > endNs) {
        return false;
      }
      TimeUnit.MILLISECONDS.sleep(50);
      nowNs = System.nanoTime();
    }
    return true;
  }

  private void applyFor(long forMs, Runnable begin, Runnable end) throws InterruptedException {
    DisturbanceLog.Disturbance disturbance = disturbanceLog.recordStart(System.nanoTime());
    begin.run();
    TimeUnit.MILLISECONDS.sleep(forMs);
    end.run();
    disturbance.recordEnd(System.nanoTime());
  }

  /** Changes the configuration while two gateways hear nothing from the store. */
  private void changeWhileSilent(int index, long forMs) throws InterruptedException {
    List<FaultyLink> links = List.of(gateway(index).storeLink(), gateway(index + 1).storeLink());
    DisturbanceLog.Disturbance disturbance = disturbanceLog.recordStart(System.nanoTime());
    links.forEach(link -> link.setCondition(FaultyLink.Condition.ONE_WAY));
    TimeUnit.MILLISECONDS.sleep(forMs / 2);
    long version = fleet.changeConfiguration();
    TimeUnit.MILLISECONDS.sleep(forMs / 2);
    links.forEach(link -> link.setCondition(FaultyLink.Condition.GOOD));
    disturbance.recordEnd(System.nanoTime());
    checkInForce(version);
  }

  private void checkInForce(long version) throws InterruptedException {
    long acceptedNs = System.nanoTime();
    long boundMs = fleet.limits().applyMs() + APPLY_MARGIN_MS;
    TimeUnit.MILLISECONDS.sleep(boundMs);
    if (!checksTimeLimits || !awaitUndisturbed(acceptedNs, boundMs)) {
      return;
    }
    for (GatewayProcess gateway : fleet.gateways()) {
      if (gateway.version() < version) {
        violations.add(
            System.nanoTime(),
            "configuration in force",
            "%s has %d, not %d".formatted(gateway.name(), gateway.version(), version));
      }
    }
  }
}
