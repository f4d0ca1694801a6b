package org.cowslipstair.soak.fleet;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.math.BigInteger;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import org.cowslipstair.soak.Limits;
import org.cowslipstair.soak.check.DisturbanceLog;
import org.cowslipstair.soak.check.FleetChecks;
import org.cowslipstair.soak.check.RequestLog;
import org.cowslipstair.soak.check.Violations;
import org.cowslipstair.soak.fleet.SystemUnderTest.GatewaySpec;
import org.cowslipstair.soak.fleet.SystemUnderTest.Kind;
import org.cowslipstair.soak.fleet.SystemUnderTest.SoakRoute;
import org.cowslipstair.soak.net.FaultyLink;
import org.cowslipstair.soak.net.LoopbackHttpServer;

/**
 * The store, the backend servers and the daemons under test, with the operators' actions on them.
 */
public final class Fleet implements AutoCloseable {
  /** Availability zones. */
  public static final List<String> ZONES = List.of("z-a", "z-b", "z-c");

  private static final List<String> SERVICES = List.of("s-1", "s-2");
  private static final int BACKENDS_PER_ZONE = 2;
  private static final int SEED_COUNT = 3;
  private static final long COLD_MS = 3_000;
  private static final long ENTRY_EXPIRY_MS = 4_500;
  private static final long REWRITE_DELAY_MS = 500;
  private static final long LEAVE_MARGIN_MS = 1_500;
  private static final long LONG_TIMEOUT_MS = 2_500;
  private static final long SHORT_TIMEOUT_MS = 1_500;
  private static final long NS_PER_MS = 1_000_000L;

  /** More digits than parsers of JSON take by default. */
  private static final int ODD_NUMBER_DIGITS = 1_233;

  /** Below the ports of outgoing connections, one of which could take a port before its daemon. */
  private static final int MIN_PORT = 12_000;

  private static final int MAX_PORT = 32_000;

  private final SystemUnderTest system;
  private final Limits limits;
  private final RequestLog requestLog;
  private final Violations violations;
  private final StoreModel store = new StoreModel();
  private final SystemUnderTest.StoreFaults storeFaults = new SystemUnderTest.StoreFaults();
  private final LoopbackHttpServer storeServer;
  private final List<GatewayProcess> gateways = new ArrayList<>();
  private final List<Backend> backends = new CopyOnWriteArrayList<>();
  private final List<FleetChecks.ClosedPeriod> drainingPeriods = new CopyOnWriteArrayList<>();
  private final List<FleetChecks.ClosedPeriod> zoneOutPeriods = new CopyOnWriteArrayList<>();
  private final List<FleetChecks.ColdPeriod> coldPeriods = new CopyOnWriteArrayList<>();
  private final Set<String> deadlyIdPrefixes = ConcurrentHashMap.newKeySet();
  private final AtomicBoolean isAnyZoneOut = new AtomicBoolean();
  private final AtomicLong sequence = new AtomicLong();
  private long version;
  private ObjectNode configuration = emptySpec();
  private Optional<String> zoneOut = Optional.empty();

  /** Starts a fleet that writes its files to the directory. */
  public Fleet(
      SystemUnderTest system,
      int gatewayCount,
      Limits limits,
      RequestLog requestLog,
      Violations violations,
      Path directory)
      throws IOException {
    this.system = system;
    this.limits = limits;
    this.requestLog = requestLog;
    this.violations = violations;
    // All at once: a port that no daemon has taken yet could be picked twice.
    List<Integer> ports = freePorts(3 * gatewayCount);
    List<Integer> relayPorts = ports.subList(0, gatewayCount);
    Map<Integer, FaultyLink> peerLinks = new LinkedHashMap<>();
    for (int port : relayPorts) {
      peerLinks.put(port, new FaultyLink(port));
    }
    this.storeServer =
        new LoopbackHttpServer(
            system.store(store, storeFaults, port -> peerLinks.get(port).port()));
    for (String service : SERVICES) {
      for (String zone : ZONES) {
        for (int i = 0; i < BACKENDS_PER_ZONE; i++) {
          register(newBackend(service, zone));
        }
      }
    }
    changeConfiguration();
    List<Integer> seedPorts =
        peerLinks.values().stream().limit(SEED_COUNT).map(FaultyLink::port).toList();
    for (int i = 0; i < gatewayCount; i++) {
      FaultyLink link = new FaultyLink(storeServer.port());
      GatewaySpec spec =
          new GatewaySpec(
              "g-" + i,
              ZONES.get(i % ZONES.size()),
              ports.get(gatewayCount + i),
              ports.get(2 * gatewayCount + i),
              relayPorts.get(i),
              link.port(),
              seedPorts);
      FaultyLink peerLink = peerLinks.get(relayPorts.get(i));
      gateways.add(new GatewayProcess(system, spec, link, peerLink, limits, violations, directory));
    }
  }

  private static List<Integer> freePorts(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    List<Integer> ports = new ArrayList<>();
    while (ports.size() < count) {
      int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
      try {
        sockets.add(new ServerSocket(port, 1, InetAddress.getLoopbackAddress()));
        ports.add(port);
      } catch (BindException ignored) {
        // The port is in use.
      }
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return ports;
  }

  private Backend newBackend(String service, String zone) throws IOException {
    return new Backend(
        nextName(), service, zone, system.headerNames(), requestLog, this::startCrash);
  }

  private void startCrash(Backend backend) {
    Thread.ofVirtual().start(() -> crashOrReport(backend));
  }

  private void crashOrReport(Backend backend) {
    try {
      crash(backend);
    } catch (IOException e) {
      violations.add(System.nanoTime(), "soak", "crash failed: " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private String nextName() {
    return "b-" + sequence.incrementAndGet();
  }

  private void register(Backend backend) {
    backends.add(backend);
    writeReport(backend);
  }

  private void writeReport(Backend backend) {
    store.put(
        system.kind(Kind.BACKENDS),
        backend.name(),
        system.backend(backend, sequence.incrementAndGet(), 1));
  }

  /** Writes an entry of another writer among those of the backend servers. */
  public void writeOddEntry() {
    ObjectNode spec = emptySpec();
    spec.put("number", BigInteger.TEN.pow(ODD_NUMBER_DIGITS));
    store.put(system.kind(Kind.BACKENDS), "odd", spec);
  }

  /** Returns the daemons. */
  public List<GatewayProcess> gateways() {
    return List.copyOf(gateways);
  }

  /** Returns the current backend servers. */
  public List<Backend> backends() {
    return List.copyOf(backends);
  }

  /** Returns the switches for faults of the store. */
  public SystemUnderTest.StoreFaults storeFaults() {
    return storeFaults;
  }

  /** Returns the limits. */
  public Limits limits() {
    return limits;
  }

  /** Discards the change history of the store. */
  public void forgetHistory() {
    store.forgetHistory();
  }

  /** Returns a copy of the store. */
  public StoreModel.Copy storeCopy() {
    return store.copy();
  }

  /** Brings the store back from a copy. */
  public void returnStoreTo(StoreModel.Copy copy) {
    store.returnTo(copy);
  }

  /**
   * Writes what the operator and the backend servers had written before the store came back from a
   * copy. Entries of backend servers that have gone expire after a delay.
   */
  public void writeAgain() throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(REWRITE_DELAY_MS);
    writeOperatorObjectsAgain();
    writeAllReports();
    TimeUnit.MILLISECONDS.sleep(ENTRY_EXPIRY_MS);
    Set<String> present = backends.stream().map(Backend::name).collect(Collectors.toSet());
    for (StoreModel.Item item : store.list(system.kind(Kind.BACKENDS))) {
      if (!present.contains(item.name())) {
        store.delete(system.kind(Kind.BACKENDS), item.name());
      }
    }
  }

  private synchronized void writeOperatorObjectsAgain() {
    store.put(system.kind(Kind.CONFIGURATION), "main", configuration);
    for (String zone : ZONES) {
      writeZone(zone);
    }
  }

  private synchronized void setZoneOut(String zone, boolean isOut) {
    zoneOut = isOut ? Optional.of(zone) : Optional.empty();
    writeZone(zone);
  }

  private void writeZone(String zone) {
    if (zoneOut.equals(Optional.of(zone))) {
      store.put(system.kind(Kind.ZONES_OUT), zone, emptySpec());
    } else {
      store.delete(system.kind(Kind.ZONES_OUT), zone);
    }
  }

  /** Writes a report of every backend server to the store, as real ones do periodically. */
  public void writeAllReports() {
    backends.forEach(this::writeReport);
  }

  /** Stores a new configuration with changed routes and timeouts; returns its version. */
  public synchronized long changeConfiguration() {
    version++;
    String other = SERVICES.get((int) (version % SERVICES.size()));
    long timeoutMs = version % 3 == 0 ? SHORT_TIMEOUT_MS : LONG_TIMEOUT_MS;
    List<SoakRoute> routes =
        List.of(
            new SoakRoute("safe", "safe", SERVICES.getFirst(), timeoutMs),
            new SoakRoute("unsafe", "unsafe", other, timeoutMs),
            new SoakRoute("upload", "upload", SERVICES.getLast(), timeoutMs));
    configuration = system.configuration(version, routes, coldRequestsPerSecond());
    store.put(system.kind(Kind.CONFIGURATION), "main", configuration);
    return version;
  }

  private double coldRequestsPerSecond() {
    return (limits.coldPerSecond() - 5) / 1.5;
  }

  /** Announces that a backend server is leaving, waits, removes it, and starts a replacement. */
  public void leave(Backend leaving) throws IOException, InterruptedException {
    if (leaving.isLeaving()) {
      return;
    }
    leaving.leave();
    writeReport(leaving);
    long acceptedNs = System.nanoTime();
    long stayMs = limits.leaveMs() + LEAVE_MARGIN_MS;
    drainingPeriods.add(
        new FleetChecks.ClosedPeriod(
            "no new work for who leaves",
            leaving.name(),
            acceptedNs,
            acceptedNs + stayMs * NS_PER_MS));
    TimeUnit.MILLISECONDS.sleep(stayMs);
    replace(leaving, 0);
  }

  /**
   * Crashes a backend server and starts a replacement; its store entry is deleted after a delay.
   */
  public void crash(Backend crashed) throws IOException, InterruptedException {
    if (!crashed.isLeaving()) {
      crashed.leave();
      crashed.close();
      replace(crashed, ENTRY_EXPIRY_MS);
    }
  }

  private void replace(Backend old, long entryExpiryMs) throws IOException, InterruptedException {
    backends.remove(old);
    Backend next = newBackend(old.service(), old.zone());
    startCold(next);
    register(next);
    TimeUnit.MILLISECONDS.sleep(entryExpiryMs);
    store.delete(system.kind(Kind.BACKENDS), old.name());
    old.close();
  }

  /** Lets a request that crashes its servers return again and again until the given time. */
  public void returnDeadlyRequest(int number, long untilNs) throws InterruptedException {
    DeadlyCaller caller = new DeadlyCaller(number, system.headerNames(), gateways, requestLog);
    deadlyIdPrefixes.add(caller.idPrefix());
    caller.run(untilNs);
  }

  /** Starts a cold period of a backend server. */
  public void startCold(Backend backend) {
    long nowNs = System.nanoTime();
    long untilNs = nowNs + COLD_MS * NS_PER_MS;
    backend.setColdUntil(untilNs);
    coldPeriods.add(new FleetChecks.ColdPeriod(backend.name(), nowNs, untilNs));
  }

  /**
   * Takes a zone out for a while, as an operator would; its backend servers are cold afterwards.
   * Does nothing while another zone is out.
   */
  public void takeZoneOut(String zone, long forMs) throws InterruptedException {
    if (!isAnyZoneOut.compareAndSet(false, true)) {
      return;
    }
    setZoneOut(zone, true);
    long acceptedNs = System.nanoTime();
    List<Backend> inZone = backends.stream().filter(b -> b.zone().equals(zone)).toList();
    TimeUnit.MILLISECONDS.sleep(forMs);
    long untilNs = System.nanoTime();
    inZone.forEach(
        b ->
            zoneOutPeriods.add(
                new FleetChecks.ClosedPeriod(
                    "no new work for a zone that is out", b.name(), acceptedNs, untilNs)));
    inZone.forEach(this::startCold);
    setZoneOut(zone, false);
    isAnyZoneOut.set(false);
  }

  private static ObjectNode emptySpec() {
    return JsonNodeFactory.instance.objectNode();
  }

  /**
   * Runs the fleet-wide checks.
   *
   * @param gatewaysDown when gateways were killed or paused
   */
  public void check(FleetChecks checks, DisturbanceLog gatewaysDown, boolean checksTimeLimits) {
    checks.checkRetryBudget();
    checks.checkColdPeriods(coldPeriods);
    if (checksTimeLimits) {
      deadlyIdPrefixes.forEach(prefix -> checks.checkDeadlyRequest(prefix, gatewaysDown));
      checks.checkClosedPeriods(drainingPeriods, limits.leaveMs());
      checks.checkClosedPeriods(zoneOutPeriods, limits.zoneOutMs());
    }
  }

  @Override
  public void close() throws IOException {
    for (GatewayProcess gateway : gateways) {
      gateway.close();
    }
    for (Backend backend : backends) {
      backend.close();
    }
    storeServer.close();
  }
}
