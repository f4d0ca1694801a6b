package org.cowslipstair.soak.fault;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.soak.check.Calm;
import org.cowslipstair.soak.check.Violations;
import org.cowslipstair.soak.fleet.Backend;
import org.cowslipstair.soak.fleet.Fleet;
import org.cowslipstair.soak.fleet.GatewayProcess;
import org.cowslipstair.soak.net.FaultyLink;

/** Brings faults about. Each runs on a thread of its own and ends by itself. */
public final class FaultRun {
  private static final long NS_PER_MS = 1_000_000L;
  private static final long KILL_MS = 3_000;
  private static final long APPLY_MARGIN_MS = 700;

  private final Fleet fleet;
  private final Calm calm;
  private final Calm unplanned;
  private final Violations violations;
  private final boolean isTimed;

  /**
   * Creates a run.
   *
   * @param calm notes every disturbance of gateways, their links and the store
   * @param unplanned notes those that are no planned stop and concern gateways
   * @param isTimed whether time bounds are checked
   */
  public FaultRun(Fleet fleet, Calm calm, Calm unplanned, Violations violations, boolean isTimed) {
    this.fleet = fleet;
    this.calm = calm;
    this.unplanned = unplanned;
    this.violations = violations;
    this.isTimed = isTimed;
  }

  /** Brings one fault about and returns when it is over. */
  public void run(Fault fault) {
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
      case Fault.Kill(int gateway) -> killed(List.of(gateway(gateway)));
      case Fault.KillMost(double share) -> {
        List<GatewayProcess> all = fleet.gateways();
        killed(all.subList(0, (int) Math.ceil(share * all.size())));
      }
      case Fault.Pause(int gateway, long forMs) -> pause(gateway(gateway), forMs);
      case Fault.Stop(int gateway) -> stop(gateway(gateway));
      case Fault.Reload(int gateway, boolean signalled) -> reload(gateway(gateway), signalled);
      case Fault.StoreLink(int gateway, FaultyLink.Condition condition, long forMs) ->
          link(List.of(gateway(gateway).storeLink()), condition, forMs);
      case Fault.StoreAway(FaultyLink.Condition condition, long forMs) ->
          link(fleet.gateways().stream().map(GatewayProcess::storeLink).toList(), condition, forMs);
      case Fault.StoreRefuses(long forMs) ->
          during(
              forMs,
              () -> fleet.storeFaults().refuses = true,
              () -> fleet.storeFaults().refuses = false);
      case Fault.StoreLosesAnswers(long forMs) ->
          during(
              forMs,
              () -> fleet.storeFaults().losesAnswers = true,
              () -> fleet.storeFaults().losesAnswers = false);
      case Fault.StoreForgets() -> during(0, fleet::forgetHistory, () -> {});
      case Fault.BackendFault(int index, Backend.Fault wrong, long forMs) -> {
        Backend backend = backend(index);
        backend.fault(wrong);
        TimeUnit.MILLISECONDS.sleep(forMs);
        backend.fault(Backend.Fault.NONE);
      }
      case Fault.BackendLink(int index, FaultyLink.Condition condition, long forMs) -> {
        Backend backend = backend(index);
        backend.link().set(condition);
        TimeUnit.MILLISECONDS.sleep(forMs);
        backend.link().set(FaultyLink.Condition.GOOD);
      }
      case Fault.BackendCrash(int index) -> fleet.crash(backend(index));
      case Fault.BackendLeaves(int index) -> fleet.leave(backend(index));
      case Fault.BackendCold(int index) -> fleet.makeCold(backend(index));
      case Fault.ChangeConfiguration() -> changeConfiguration();
      case Fault.ZoneOut(String zone, long forMs) -> fleet.takeOut(zone, forMs);
    }
  }

  private GatewayProcess gateway(int index) {
    return fleet.gateways().get(index % fleet.gateways().size());
  }

  private Backend backend(int index) {
    return fleet.backends().get(index % fleet.backends().size());
  }

  private void killed(List<GatewayProcess> gateways) throws IOException, InterruptedException {
    Calm.Disturbance noted = calm.disturbed(System.nanoTime());
    Calm.Disturbance notedToo = unplanned.disturbed(System.nanoTime());
    for (GatewayProcess gateway : gateways) {
      gateway.signal("KILL");
    }
    TimeUnit.MILLISECONDS.sleep(KILL_MS);
    noted.endedAt(System.nanoTime());
    notedToo.endedAt(System.nanoTime());
  }

  private void pause(GatewayProcess gateway, long forMs) throws IOException, InterruptedException {
    Calm.Disturbance noted = calm.disturbed(System.nanoTime());
    Calm.Disturbance notedToo = unplanned.disturbed(System.nanoTime());
    gateway.signal("STOP");
    TimeUnit.MILLISECONDS.sleep(forMs);
    gateway.signal("CONT");
    noted.endedAt(System.nanoTime());
    notedToo.endedAt(System.nanoTime());
  }

  private void stop(GatewayProcess gateway) throws IOException, InterruptedException {
    Calm.Disturbance noted = calm.disturbed(System.nanoTime());
    long pid = gateway.pid();
    gateway.signal("TERM");
    long endNs = System.nanoTime() + fleet.bounds().graceMs() * NS_PER_MS;
    while (gateway.pid() == pid && System.nanoTime() < endNs) {
      TimeUnit.MILLISECONDS.sleep(50);
    }
    if (gateway.pid() == pid) {
      Calm.Disturbance killed = unplanned.disturbed(System.nanoTime());
      gateway.signal("KILL");
      killed.endedAt(System.nanoTime());
      if (isTimed && unplanned.isCalm(endNs - fleet.bounds().graceMs() * NS_PER_MS, endNs)) {
        violations.add(System.nanoTime(), "stop in time", gateway.name());
      }
    }
    TimeUnit.MILLISECONDS.sleep(KILL_MS);
    noted.endedAt(System.nanoTime());
  }

  private void reload(GatewayProcess gateway, boolean signalled)
      throws IOException, InterruptedException {
    gateway.touchSettings(fleet.bounds());
    if (signalled) {
      gateway.signal("HUP");
    }
  }

  private void link(List<FaultyLink> links, FaultyLink.Condition condition, long forMs)
      throws InterruptedException {
    during(
        forMs,
        () -> links.forEach(link -> link.set(condition)),
        () -> links.forEach(link -> link.set(FaultyLink.Condition.GOOD)));
  }

  private void during(long forMs, Runnable begin, Runnable end) throws InterruptedException {
    Calm.Disturbance noted = calm.disturbed(System.nanoTime());
    begin.run();
    TimeUnit.MILLISECONDS.sleep(forMs);
    end.run();
    noted.endedAt(System.nanoTime());
  }

  private void changeConfiguration() throws InterruptedException {
    long version = fleet.changeConfiguration();
    long acceptedNs = System.nanoTime();
    TimeUnit.MILLISECONDS.sleep(fleet.bounds().applyMs() + APPLY_MARGIN_MS);
    if (!isTimed || !calm.isCalm(acceptedNs, System.nanoTime())) {
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
