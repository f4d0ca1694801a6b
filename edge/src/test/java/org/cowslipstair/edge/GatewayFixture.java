package org.cowslipstair.edge;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import java.io.IOException;
import java.net.BindException;
import java.net.ServerSocket;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;
import org.cowslipstair.edge.caller.CallerServer;
import org.cowslipstair.edge.log.GatewayLog;
import org.cowslipstair.edge.log.GatewayMetrics;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.logic.invariant.Violation;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.traffic.BackendInstance;
import org.cowslipstair.model.traffic.CallerBounds;
import org.cowslipstair.model.traffic.GatewayEntry;
import org.cowslipstair.model.traffic.RequestKind;
import org.cowslipstair.model.traffic.Route;
import org.cowslipstair.model.traffic.ServiceConfig;
import org.cowslipstair.model.traffic.StorePosition;
import org.cowslipstair.model.traffic.TrafficPlan;
import org.cowslipstair.model.traffic.WeightedService;
import org.cowslipstair.port.MonotonicClock;
import org.cowslipstair.port.ObjectFeed;

/** Gateways on the loopback interface with scripted backend servers on raw sockets. */
final class GatewayFixture implements AutoCloseable {
  static final ProtocolHeaders HEADERS =
      new ProtocolHeaders(
          "X-Id",
          "X-Deadline-Ms",
          "X-Expect",
          "X-Instance",
          "X-Not-Run",
          "X-Proof",
          "X-Load",
          "X-Limit",
          "X-Leaving",
          "X-Cold-Ms",
          "X-Tenant");
  static final long SHORT_TIMEOUT_MS = 1_500;
  static final long LONG_TIMEOUT_MS = 20_000;
  private static final int REQUESTS_FOR_A_HEDGE = 400;
  private static final long SHORT_TARGET_MS = 1_000;
  static final double UNLIMITED_PROBES_PER_SECOND = 10_000;
  private static final ServiceName SERVICE = new ServiceName("s");
  private static final ZoneName ZONE = new ZoneName("z");
  private static final long HEAD_TIMEOUT_MS = 300;

  final List<ScriptedBackend> backends = new ArrayList<>();
  final List<Violation> violations = new CopyOnWriteArrayList<>();
  final List<FrontGateway> gateways = new ArrayList<>();
  private final List<EventLoop> loops = new ArrayList<>();
  final FrontGateway gateway;
  private final List<GatewayEntry> gatewayEntries = new ArrayList<>();
  private final boolean hasConfiguration;
  private final MultiThreadIoEventLoopGroup group;

  GatewayFixture(int backendCount) throws IOException, InterruptedException {
    this(backendCount, UNLIMITED_PROBES_PER_SECOND);
  }

  /**
   * Starts a gateway and waits until it is ready.
   *
   * @param probesPerSecond probes that a backend server may get per second
   */
  GatewayFixture(int backendCount, double probesPerSecond)
      throws IOException, InterruptedException {
    this(backendCount, 1, 0, probesPerSecond, true, _ -> {});
    awaitReady();
  }

  /** Starts a fleet of gateways in one zone and waits until all are ready. */
  static GatewayFixture fleet(int gatewayCount, int backendCount)
      throws IOException, InterruptedException {
    return fleet(gatewayCount, 0, backendCount);
  }

  /**
   * Starts a fleet of gateways in one zone and waits until all are ready.
   *
   * @param absentCount number of other gateways that the fleet knows but that do not run yet
   */
  static GatewayFixture fleet(int gatewayCount, int absentCount, int backendCount)
      throws IOException, InterruptedException {
    GatewayFixture fixture =
        new GatewayFixture(
            backendCount, gatewayCount, absentCount, UNLIMITED_PROBES_PER_SECOND, true, _ -> {});
    fixture.awaitReady();
    return fixture;
  }

  /** Starts the first gateway that does not run yet and waits until it is ready. */
  void startAbsent() throws IOException, InterruptedException {
    gateways.add(start(gatewayEntries.get(gateways.size()), UNLIMITED_PROBES_PER_SECOND, _ -> {}));
    awaitReady();
  }

  private void awaitReady() throws InterruptedException {
    while (!gateways.stream().allMatch(FrontGateway::isReady)) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
  }

  /**
   * Starts a gateway.
   *
   * @param hasConfiguration whether the store has a configuration
   * @param onListening receives the port for callers before connections are accepted
   */
  GatewayFixture(
      int backendCount, double probesPerSecond, boolean hasConfiguration, IntConsumer onListening)
      throws IOException, InterruptedException {
    this(backendCount, 1, 0, probesPerSecond, hasConfiguration, onListening);
  }

  /**
   * Starts gateways that all know each other.
   *
   * @param absentCount number of other gateways that they know
   * @param hasConfiguration whether the store has a configuration
   * @param onListening receives each port for callers before connections are accepted
   */
  private GatewayFixture(
      int backendCount,
      int gatewayCount,
      int absentCount,
      double probesPerSecond,
      boolean hasConfiguration,
      IntConsumer onListening)
      throws IOException, InterruptedException {
    this.hasConfiguration = hasConfiguration;
    this.group =
        new MultiThreadIoEventLoopGroup(gatewayCount + absentCount, NioIoHandler.newFactory());
    for (int i = 0; i < backendCount; i++) {
      backends.add(new ScriptedBackend("b-" + i));
    }
    for (int i = 0; i < gatewayCount + absentCount; i++) {
      String name = i == 0 ? "g" : "g-" + i;
      gatewayEntries.add(new GatewayEntry(name, ZONE, new HostPort("127.0.0.1", freePort())));
    }
    for (GatewayEntry entry : gatewayEntries.subList(0, gatewayCount)) {
      gateways.add(start(entry, probesPerSecond, onListening));
    }
    this.gateway = gateways.getFirst();
  }

  /** Returns a free port below those of outgoing connections, which could take it meanwhile. */
  private static int freePort() throws IOException {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(12_000, 32_000);
      try (ServerSocket socket = new ServerSocket(port)) {
        return socket.getLocalPort();
      } catch (BindException ignored) {
        // The port is in use.
      }
    }
  }

  private FrontGateway start(GatewayEntry entry, double probesPerSecond, IntConsumer onListening)
      throws IOException, InterruptedException {
    FrontSettings settings =
        new FrontSettings(
            entry.name(),
            ZONE,
            new HostPort("127.0.0.1", 0),
            new HostPort("127.0.0.1", 0),
            new FrontSettings.Relay(entry.relayAddress(), List.of(), false),
            0.2,
            100,
            1.5,
            5,
            new FrontSettings.FleetLimits(probesPerSecond, 3_000, 400L << 20, 50),
            FrontSettings.FleetPolicies.none());
    EventLoop loop = group.next();
    loops.add(loop);
    ServerSocketChannel socket = CallerServer.bind(new HostPort("127.0.0.1", 0));
    onListening.accept(socket.socket().getLocalPort());
    return FrontGateway.start(
        settings,
        new GatewayComponents(
            loop,
            MonotonicClock.system(),
            new Random(7),
            new StaticFeed(),
            HEADERS,
            new InvariantMonitor(violations::add)),
        new GatewayLog(entry.name(), new GatewayMetrics(), MonotonicClock.system()),
        socket);
  }

  /** Returns the port at which a gateway serves the others. */
  int relayPort(int index) {
    return gatewayEntries.get(index).relayAddress().port();
  }

  ScriptedBackend backend() {
    return backends.getFirst();
  }

  /** Freezes a gateway for the given time. */
  void freeze(int index, long ms) {
    loops
        .get(index)
        .execute(
            () -> {
              try {
                TimeUnit.MILLISECONDS.sleep(ms);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
  }

  /** Returns the state dump of a gateway. */
  JsonNode state(int index) throws IOException {
    try (RawClient client = new RawClient(gateways.get(index).readyPort())) {
      return new ObjectMapper()
          .readTree(client.send("GET /state HTTP/1.1\r\nHost: g\r\n\r\n").body());
    }
  }

  /** A gateway that has just started allows no hedge before its requests have earned one. */
  void earnHedge() throws IOException {
    try (RawClient client = client()) {
      for (int i = 0; i < REQUESTS_FOR_A_HEDGE; i++) {
        client.send(RawClient.get("/safe/x", "first-" + i));
      }
    }
    backends.forEach(backend -> backend.receivedRequests.clear());
  }

  RawClient client() throws IOException {
    return new RawClient(gateway.callerPort());
  }

  @Override
  public void close() throws IOException {
    for (ScriptedBackend backend : backends) {
      backend.close();
    }
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static TrafficPlan trafficPlan() {
    CallerBounds bounds = new CallerBounds(4_096, 1 << 20, HEAD_TIMEOUT_MS, 5_000);
    return new TrafficPlan(
        1,
        bounds,
        List.of(new ServiceConfig(SERVICE, "/healthz", 100, 5)),
        List.of(
            route("safe", RequestKind.SAFE, LONG_TIMEOUT_MS),
            route("hedged", RequestKind.DOWNLOAD, LONG_TIMEOUT_MS, SHORT_TARGET_MS),
            route("download", RequestKind.DOWNLOAD, LONG_TIMEOUT_MS),
            route("unsafe", RequestKind.UNSAFE, LONG_TIMEOUT_MS),
            route("upload", RequestKind.UPLOAD, LONG_TIMEOUT_MS),
            route("short", RequestKind.UNSAFE, SHORT_TIMEOUT_MS)));
  }

  private static Route route(String name, RequestKind kind, long timeoutMs) {
    // The target latency is long, so that a slow test machine causes no hedge.
    return route(name, kind, timeoutMs, LONG_TIMEOUT_MS);
  }

  private static Route route(String name, RequestKind kind, long timeoutMs, long targetMs) {
    return new Route(
        name,
        "a.example",
        "/" + name + "/",
        kind,
        timeoutMs,
        targetMs,
        0,
        2,
        List.of(new WeightedService(SERVICE, 1)));
  }

  private final class StaticFeed implements ObjectFeed {
    @Override
    public Single<Page> list(Collection collection, Optional<String> after, Freshness freshness) {
      List<Item> items =
          switch (collection) {
            case CONFIGURATION ->
                hasConfiguration
                    ? List.of(new Item("main", 1, new Content.Plan(trafficPlan())))
                    : List.of();
            case BACKENDS ->
                backends.stream()
                    .map(backend -> new Item(backend.id, 1, instance(backend)))
                    .toList();
            case GATEWAYS ->
                gatewayEntries.stream()
                    .map(entry -> new Item(entry.name(), 1, new Content.Gateway(entry)))
                    .toList();
            case ZONES_OUT -> List.of();
          };
      return Single.just(new Page(items, false, new StorePosition(0, 1)));
    }

    private Content instance(ScriptedBackend backend) {
      return new Content.Backend(
          new BackendInstance(
              new BackendName(backend.id), SERVICE, backend.address(), ZONE, 3, false, 0, 1, 1));
    }

    @Override
    public Single<Changes> watch(Collection collection, long revision, long waitMs) {
      return Single.never();
    }

    @Override
    public Completable announce(GatewayEntry gateway) {
      return Completable.complete();
    }
  }
}
