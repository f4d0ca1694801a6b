package org.cowslipstair.experiments.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import org.cowslipstair.adapters.http.CallerLimits;
import org.cowslipstair.adapters.platform.HttpPlatformStore;
import org.cowslipstair.gateway.GatewayProcess;
import org.cowslipstair.gateway.GatewaySettings;
import org.cowslipstair.logic.object.ObjectJson;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.ConfigObject;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.Labels;
import org.cowslipstair.model.config.StoredObject;
import org.cowslipstair.model.config.Zone;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.fleet.InstanceEntry;
import org.cowslipstair.port.StoreException;
import org.cowslipstair.standins.backend.BackendBehaviour;
import org.cowslipstair.standins.backend.BackendServerStandin;
import org.cowslipstair.standins.backend.RunRecord;
import org.cowslipstair.standins.backend.ServiceTime;
import org.cowslipstair.standins.store.StoreInstance;
import org.cowslipstair.standins.store.StoreServer;

/** Gateways, backend servers and store of one trial, over real sockets on the loopback address. */
public final class TrialFleet implements AutoCloseable {
  private static final String HOST = "127.0.0.1";
  private static final String PEER_KEY = "trial-key-of-one-process";
  private static final long STOP_NOTICE_MS = 1_000;
  private static final long STOP_TIMEOUT_MS = 30_000;
  private static final long READY_TIMEOUT_MS = 30_000;
  private static final long POLL_MS = 20;

  private final StoreServer store;
  private final HttpPlatformStore client;
  private final RunRecord runs = new RunRecord();
  private final Map<BackendName, BackendServerStandin> backends = new HashMap<>();
  private final Map<GatewayName, GatewayProcess> gateways = new ConcurrentHashMap<>();
  private final Deployment deployment;

  /**
   * Starts a fleet and waits until every gateway has the configuration.
   *
   * @param gatewayCount number of gateways, spread over the zones
   */
  public static TrialFleet start(
      Deployment deployment, int gatewayCount, ServiceTime serviceTime, long seed)
      throws IOException, StoreException, InterruptedException, TimeoutException {
    TrialFleet fleet = new TrialFleet(deployment, serviceTime, seed);
    fleet.writeAll();
    fleet.startGateways(gatewayCount);
    fleet.awaitReady();
    return fleet;
  }

  private TrialFleet(Deployment original, ServiceTime serviceTime, long seed) {
    this.store = StoreServer.start(0);
    this.client = new HttpPlatformStore(List.of(address(store.address())));
    SplittableRandom seeds = new SplittableRandom(seed);
    Map<BackendName, HostPort> addresses = new HashMap<>();
    for (BackendServer backend : original.backends()) {
      BackendServerStandin standin =
          BackendServerStandin.start(
              new BackendServerStandin.Config(
                  backend.name().value(),
                  0,
                  BackendBehaviour.healthy(backend.slots(), serviceTime),
                  seeds.nextLong(),
                  runs));
      backends.put(backend.name(), standin);
      addresses.put(backend.name(), address(standin.address()));
    }
    this.deployment = original.withAddresses(addresses);
  }

  private static HostPort address(String text) {
    return HostPort.parse(text)
        .orElseThrow(() -> new IllegalStateException("address \"%s\"".formatted(text)));
  }

  private void writeAll() throws StoreException {
    for (ConfigObject object : deployment.objects()) {
      client.put(object.key(), ObjectJson.write(object), 0, UUID.randomUUID().toString());
    }
  }

  private void startGateways(int count) throws IOException {
    List<ZoneName> zones = deployment.zones();
    List<InstanceEntry> seeds = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ZoneName zone = zones.get(i % zones.size());
      GatewayProcess process = startGateway(new GatewayName("gw-" + i), zone, seeds);
      seeds.add(process.instance());
    }
  }

  /** Starts one more gateway. */
  public GatewayProcess startGateway(GatewayName name, ZoneName zone, List<InstanceEntry> seeds)
      throws IOException {
    HostPort any = new HostPort(HOST, 0);
    GatewaySettings settings =
        new GatewaySettings(
            name,
            zone,
            any,
            any,
            any,
            List.of(address(store.address())),
            PEER_KEY,
            CallerLimits.defaults(),
            STOP_NOTICE_MS,
            STOP_TIMEOUT_MS);
    GatewayProcess process = GatewayProcess.start(settings, System.currentTimeMillis(), seeds);
    gateways.put(name, process);
    store.putInstance(listed(process.instance()));
    return process;
  }

  private static StoreInstance listed(InstanceEntry entry) {
    return new StoreInstance(
        entry.name().value(),
        entry.zone().value(),
        entry.peerAddress().toString(),
        entry.adminAddress().toString(),
        entry.leaving());
  }

  private boolean isReady() {
    for (GatewayProcess gateway : gateways.values()) {
      boolean meshed = gateway.runtime().gatewayCount() == gateways.size();
      if (!isCurrent(gateway) || !meshed || gateway.runtime().notReadyBecause().isPresent()) {
        return false;
      }
    }
    return true;
  }

  /** Writes an object over the version that the store has. */
  public void write(ConfigObject object) throws StoreException {
    long version = client.get(object.key()).map(StoredObject::version).orElse(0L);
    client.put(object.key(), ObjectJson.write(object), version, UUID.randomUUID().toString());
  }

  /** Marks a zone out or in. */
  public void setZoneOut(ZoneName name, boolean out) throws StoreException {
    Zone zone = deployment.zone(name);
    Labels labels =
        out
            ? zone.labels().with(Labels.STATE, Labels.STATE_OUT)
            : zone.labels().without(Labels.STATE);
    write(new Zone(name, labels));
  }

  /** Starts to count calls in a zone that arrive later than a grace from now on. */
  public void markZone(ZoneName zone, long graceMs) {
    for (BackendServer backend : deployment.backends()) {
      BackendServerStandin standin = backends.get(backend.name());
      if (standin != null && backend.zone().equals(zone)) {
        standin.mark(graceMs);
      }
    }
  }

  /** Ends the counting of {@link #markZone}. */
  public void clearMarks() {
    backends.values().forEach(BackendServerStandin::clearMark);
  }

  /** Waits until every gateway has the newest configuration, knows all others, and is ready. */
  public void awaitReady() throws InterruptedException, TimeoutException {
    await(this::isReady, "gateways are not ready");
  }

  /** Waits until every gateway has the newest configuration. */
  public void awaitRevision() throws InterruptedException, TimeoutException {
    await(
        () -> gateways.values().stream().allMatch(this::isCurrent),
        "gateways do not have the newest configuration");
  }

  private static void await(BooleanSupplier condition, String failure)
      throws InterruptedException, TimeoutException {
    long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - deadlineNs > 0) {
        throw new TimeoutException(failure);
      }
      TimeUnit.MILLISECONDS.sleep(POLL_MS);
    }
  }

  private boolean isCurrent(GatewayProcess gateway) {
    return gateway.runtime().configSnapshot().revision() >= store.revision();
  }

  /** Starts a new life of a gateway that ended. */
  public void restartGateway(GatewayName name, ZoneName zone) throws IOException {
    startGateway(name, zone, gateways.values().stream().map(GatewayProcess::instance).toList());
  }

  /** Stops a gateway as a planned stop does. */
  public void stopGateway(GatewayName name) throws InterruptedException {
    GatewayProcess process = gateways.get(name);
    if (process != null) {
      process.stop();
      forget(name);
    }
  }

  /** Ends a gateway at once, as a crash does. */
  public void killGateway(GatewayName name) {
    GatewayProcess process = gateways.get(name);
    if (process != null) {
      process.close();
      forget(name);
    }
  }

  private void forget(GatewayName name) {
    gateways.remove(name);
    store.removeInstance(name.value());
  }

  /** Returns the addresses that the platform's balancer sends callers to. */
  public List<HostPort> readyAddresses() {
    List<HostPort> ready = new ArrayList<>();
    for (GatewayProcess gateway : gateways.values()) {
      if (gateway.runtime().notReadyBecause().isEmpty()) {
        ready.add(gateway.callerAddress());
      }
    }
    return ready;
  }

  /** Returns the configuration with the addresses of the stand-ins. */
  public Deployment deployment() {
    return deployment;
  }

  /** Returns the store's stand-in. */
  public StoreServer store() {
    return store;
  }

  /** Returns a client of the store. */
  public HttpPlatformStore client() {
    return client;
  }

  /** Returns the record of runs. */
  public RunRecord runs() {
    return runs;
  }

  /** Returns the stand-ins of the backend servers. */
  public Map<BackendName, BackendServerStandin> backends() {
    return Map.copyOf(backends);
  }

  /** Returns the gateways that run. */
  public Map<GatewayName, GatewayProcess> gateways() {
    return Map.copyOf(gateways);
  }

  @Override
  public void close() {
    gateways.values().forEach(GatewayProcess::close);
    backends.values().forEach(BackendServerStandin::close);
    client.close();
    store.close();
  }
}
