package org.cowslipstair.soak.fleet;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.cowslipstair.soak.Bounds;
import org.cowslipstair.soak.check.FleetChecks;
import org.cowslipstair.soak.check.Ledger;
import org.cowslipstair.soak.check.Violations;
import org.cowslipstair.soak.fleet.SystemUnderTest.GatewayPlace;
import org.cowslipstair.soak.fleet.SystemUnderTest.Kind;
import org.cowslipstair.soak.fleet.SystemUnderTest.SoakRoute;
import org.cowslipstair.soak.net.FaultyLink;
import org.cowslipstair.soak.net.HttpStandin;

/** The store, the backend servers and the daemons, and what operators do with them. */
public final class Fleet implements AutoCloseable {
  /** Availability zones. */
  public static final List<String> ZONES = List.of("z-a", "z-b", "z-c");

  private static final List<String> SERVICES = List.of("s-1", "s-2");
  private static final int BACKENDS_PER_ZONE = 2;
  private static final int SEEDS = 3;
  private static final long COLD_MS = 3_000;
  private static final long LAPSE_MS = 4_500;
  private static final long STAY_MS = 1_500;
  private static final long LONG_TIMEOUT_MS = 2_500;
  private static final long SHORT_TIMEOUT_MS = 1_500;
  private static final long NS_PER_MS = 1_000_000L;

  private final SystemUnderTest system;
  private final Bounds bounds;
  private final Ledger ledger;
  private final StoreModel store = new StoreModel();
  private final SystemUnderTest.StoreFaults storeFaults = new SystemUnderTest.StoreFaults();
  private final HttpStandin storeServer;
  private final List<GatewayProcess> gateways = new ArrayList<>();
  private final List<Backend> backends = new CopyOnWriteArrayList<>();
  private final List<FleetChecks.Closed> draining = new CopyOnWriteArrayList<>();
  private final List<FleetChecks.Closed> zonesOut = new CopyOnWriteArrayList<>();
  private final List<FleetChecks.Cold> cold = new CopyOnWriteArrayList<>();
  private final AtomicBoolean aZoneIsOut = new AtomicBoolean();
  private final AtomicLong sequence = new AtomicLong();
  private long version;

  /** Starts a fleet; files go into the directory. */
  public Fleet(
      SystemUnderTest system,
      int gatewayCount,
      Bounds bounds,
      Ledger ledger,
      Violations violations,
      Path directory)
      throws IOException {
    this.system = system;
    this.bounds = bounds;
    this.ledger = ledger;
    this.storeServer = new HttpStandin(system.store(store, storeFaults));
    for (String service : SERVICES) {
      for (String zone : ZONES) {
        for (int i = 0; i < BACKENDS_PER_ZONE; i++) {
          register(new Backend(nextName(), service, zone, system.names(), ledger));
        }
      }
    }
    changeConfiguration();
    List<Integer> relayPorts = freePorts(gatewayCount);
    for (int i = 0; i < gatewayCount; i++) {
      List<Integer> ports = freePorts(2);
      FaultyLink link = new FaultyLink(storeServer.port());
      GatewayPlace place =
          new GatewayPlace(
              "g-" + i,
              ZONES.get(i % ZONES.size()),
              ports.getFirst(),
              ports.getLast(),
              relayPorts.get(i),
              link.port(),
              relayPorts.subList(0, Math.min(SEEDS, gatewayCount)));
      gateways.add(new GatewayProcess(system, place, link, bounds, violations, directory));
    }
  }

  private static List<Integer> freePorts(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    List<Integer> ports = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      sockets.add(socket);
      ports.add(socket.getLocalPort());
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return ports;
  }

  private String nextName() {
    return "b-" + sequence.incrementAndGet();
  }

  private void register(Backend backend) {
    backends.add(backend);
    write(backend);
  }

  private void write(Backend backend) {
    store.put(
        system.kind(Kind.BACKENDS),
        backend.name(),
        system.backend(backend, sequence.incrementAndGet(), 1));
  }

  /** Returns the daemons. */
  public List<GatewayProcess> gateways() {
    return List.copyOf(gateways);
  }

  /** Returns the backend servers that live. */
  public List<Backend> backends() {
    return List.copyOf(backends);
  }

  /** Returns the faults of the store. */
  public SystemUnderTest.StoreFaults storeFaults() {
    return storeFaults;
  }

  /** Returns the bounds. */
  public Bounds bounds() {
    return bounds;
  }

  /** Makes the store forget its history. */
  public void forgetHistory() {
    store.forgetHistory();
  }

  /** Writes a report of every backend server, as they do at times. */
  public void reportAll() {
    backends.forEach(this::write);
  }

  /** Accepts a new configuration, which moves routes and times; returns its version. */
  public synchronized long changeConfiguration() {
    version++;
    String other = SERVICES.get((int) (version % SERVICES.size()));
    long timeoutMs = version % 3 == 0 ? SHORT_TIMEOUT_MS : LONG_TIMEOUT_MS;
    List<SoakRoute> routes =
        List.of(
            new SoakRoute("safe", "safe", SERVICES.getFirst(), timeoutMs),
            new SoakRoute("unsafe", "unsafe", other, timeoutMs),
            new SoakRoute("upload", "upload", SERVICES.getLast(), timeoutMs));
    store.put(
        system.kind(Kind.CONFIGURATION), "main", system.configuration(version, routes, coldRate()));
    return version;
  }

  private double coldRate() {
    return (bounds.coldPerSecond() - 5) / 1.5;
  }

  /** A backend server says that it leaves, stays a little, and is gone; another one comes. */
  public void leave(Backend leaving) throws IOException, InterruptedException {
    if (leaving.isLeaving()) {
      return;
    }
    leaving.leave();
    write(leaving);
    long acceptedNs = System.nanoTime();
    long stayMs = bounds.leaveMs() + STAY_MS;
    draining.add(
        new FleetChecks.Closed(
            "no new work for who leaves",
            leaving.name(),
            acceptedNs,
            acceptedNs + stayMs * NS_PER_MS));
    TimeUnit.MILLISECONDS.sleep(stayMs);
    replace(leaving, 0);
  }

  /** A backend server is gone at once; its entry lapses, and another one comes. */
  public void crash(Backend crashed) throws IOException, InterruptedException {
    if (!crashed.isLeaving()) {
      crashed.leave();
      crashed.close();
      replace(crashed, LAPSE_MS);
    }
  }

  private void replace(Backend old, long lapseMs) throws IOException, InterruptedException {
    backends.remove(old);
    Backend next = new Backend(nextName(), old.service(), old.zone(), system.names(), ledger);
    makeCold(next);
    register(next);
    TimeUnit.MILLISECONDS.sleep(lapseMs);
    store.delete(system.kind(Kind.BACKENDS), old.name());
    old.close();
  }

  /** A backend server is cold for a while. */
  public void makeCold(Backend backend) {
    long nowNs = System.nanoTime();
    long untilNs = nowNs + COLD_MS * NS_PER_MS;
    backend.coldUntil(untilNs);
    cold.add(new FleetChecks.Cold(backend.name(), nowNs, untilNs));
  }

  /**
   * An operator takes a zone out for a while; its backend servers come back cold. Nothing happens
   * while another one is out.
   */
  public void takeOut(String zone, long forMs) throws InterruptedException {
    if (!aZoneIsOut.compareAndSet(false, true)) {
      return;
    }
    store.put(system.kind(Kind.ZONES_OUT), zone, emptySpec());
    long acceptedNs = System.nanoTime();
    List<Backend> inZone = backends.stream().filter(b -> b.zone().equals(zone)).toList();
    TimeUnit.MILLISECONDS.sleep(forMs);
    long untilNs = System.nanoTime();
    inZone.forEach(
        b ->
            zonesOut.add(
                new FleetChecks.Closed(
                    "no new work for a zone that is out", b.name(), acceptedNs, untilNs)));
    inZone.forEach(this::makeCold);
    store.delete(system.kind(Kind.ZONES_OUT), zone);
    aZoneIsOut.set(false);
  }

  private static ObjectNode emptySpec() {
    return JsonNodeFactory.instance.objectNode();
  }

  /** Checks what concerns the whole fleet. */
  public void check(FleetChecks checks, boolean isTimed) {
    checks.checkRetryBudget();
    checks.checkCold(cold);
    if (isTimed) {
      checks.checkClosed(draining, bounds.leaveMs());
      checks.checkClosed(zonesOut, bounds.zoneOutMs());
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
