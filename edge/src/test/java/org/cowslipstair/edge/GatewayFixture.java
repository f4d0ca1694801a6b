package org.cowslipstair.edge;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.BehaviorSubject;
import java.io.IOException;
import java.net.BindException;
import java.net.ServerSocket;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
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
import org.cowslipstair.model.rollout.RolloutOrder;
import org.cowslipstair.model.rollout.RolloutStatus;
import org.cowslipstair.model.tenant.QuotaPolicy;
import org.cowslipstair.model.tenant.Tenant;
import org.cowslipstair.model.traffic.BackendInstance;
import org.cowslipstair.model.traffic.GatewayEntry;
import org.cowslipstair.model.traffic.StorePosition;
import org.cowslipstair.model.traffic.TrafficPlan;
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
  static final long HEDGED_LATENCY_MS = 500;
  static final double UNLIMITED_PROBES_PER_SECOND = 10_000;

  /** Without a tenant that has a quota, the policy has no effect. */
  static final QuotaPolicy QUOTA_POLICY = new QuotaPolicy(5_000, 0.1, 20);

  static final ServiceName SERVICE = new ServiceName("s");
  private static final ZoneName ZONE = new ZoneName("z");
  static final long HEAD_TIMEOUT_MS = 300;

  final List<ScriptedBackend> backends = new ArrayList<>();
  final List<Violation> violations = new CopyOnWriteArrayList<>();
  final List<FrontGateway> gateways = new ArrayList<>();
  private final List<EventLoop> loops = new ArrayList<>();
  final FrontGateway gateway;
  private final List<GatewayEntry> gatewayEntries = new ArrayList<>();
  private final BehaviorSubject<ObjectFeed.Item> configuration = BehaviorSubject.create();
  private volatile boolean storeSilent;
  private final Optional<FakeRolloutStore> rolloutStore;
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
    this(backendCount, 1, 0, probesPerSecond, true, Optional.empty(), _ -> {});
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
            backendCount,
            gatewayCount,
            absentCount,
            UNLIMITED_PROBES_PER_SECOND,
            true,
            Optional.empty(),
            _ -> {});
    fixture.awaitReady();
    return fixture;
  }

  /** Starts a fleet that carries out the rollouts of a store and waits until all are ready. */
  static GatewayFixture fleet(int gatewayCount, int backendCount, FakeRolloutStore rolloutStore)
      throws IOException, InterruptedException {
    GatewayFixture fixture =
        new GatewayFixture(
            backendCount,
            gatewayCount,
            0,
            UNLIMITED_PROBES_PER_SECOND,
            true,
            Optional.of(rolloutStore),
            _ -> {});
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
    this(backendCount, 1, 0, probesPerSecond, hasConfiguration, Optional.empty(), onListening);
  }

  /**
   * Starts gateways that all know each other.
   *
   * @param absentCount number of other gateways that they know
   * @param hasConfiguration whether the store has a configuration
   * @param rolloutStore rollouts of the store; without it, the fleet carries out none
   * @param onListening receives each port for callers before connections are accepted
   */
  private GatewayFixture(
      int backendCount,
      int gatewayCount,
      int absentCount,
      double probesPerSecond,
      boolean hasConfiguration,
      Optional<FakeRolloutStore> rolloutStore,
      IntConsumer onListening)
      throws IOException, InterruptedException {
    this.rolloutStore = rolloutStore;
    if (hasConfiguration) {
      configure(FixturePlan.of(1, List.of()));
    }
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
            new FrontSettings.FleetPolicies(
                Optional.of(QUOTA_POLICY), rolloutStore.map(FakeRolloutStore::policy)));
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

  /** Puts a configuration with tenants in force, after the one that gateways start with. */
  void configureTenants(long version, Tenant... tenants) throws IOException, InterruptedException {
    configure(FixturePlan.of(version, List.of(tenants)));
    for (int i = 0; i < gateways.size(); i++) {
      while (state(i).path("configurationVersion").asLong() != version) {
        TimeUnit.MILLISECONDS.sleep(5);
      }
    }
  }

  private void configure(TrafficPlan plan) {
    configuration.onNext(
        new ObjectFeed.Item("main", plan.version(), new ObjectFeed.Content.Plan(plan)));
  }

  /** Lets the store answer nothing any more, or again. */
  void silenceStore(boolean silent) {
    storeSilent = silent;
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

  private final class StaticFeed implements ObjectFeed {
    @Override
    public Single<Page> list(Collection collection, Optional<String> after, Freshness freshness) {
      if (storeSilent) {
        return Single.never();
      }
      List<Item> items =
          switch (collection) {
            case CONFIGURATION -> Optional.ofNullable(configuration.getValue()).stream().toList();
            case BACKENDS ->
                backends.stream()
                    .map(backend -> new Item(backend.id, 1, instance(backend)))
                    .toList();
            case GATEWAYS ->
                gatewayEntries.stream()
                    .map(entry -> new Item(entry.name(), 1, new Content.Gateway(entry)))
                    .toList();
            case ZONES_OUT -> List.of();
            case ROLLOUTS -> rolloutStore.map(FakeRolloutStore::items).orElse(List.of());
          };
      return Single.just(new Page(items, false, position()));
    }

    private StorePosition position() {
      return rolloutStore
          .map(FakeRolloutStore::position)
          .orElseGet(
              () ->
                  new StorePosition(
                      0,
                      Optional.ofNullable(configuration.getValue())
                          .map(Item::revision)
                          .orElse(1L)));
    }

    private Content instance(ScriptedBackend backend) {
      return new Content.Backend(
          new BackendInstance(
              new BackendName(backend.id),
              SERVICE,
              backend.address(),
              ZONE,
              3,
              false,
              0,
              1,
              1,
              rolloutStore.map(store -> store.version(backend.id))));
    }

    @Override
    public Single<Changes> watch(Collection collection, long revision, long waitMs) {
      if (collection == Collection.ROLLOUTS && rolloutStore.isPresent()) {
        return rolloutStore.get().watch(revision);
      }
      return collection == Collection.CONFIGURATION
          ? configuration
              .filter(item -> !storeSilent && item.revision() > revision)
              .firstOrError()
              .map(item -> new Changes(List.of(item), Set.of(), position()))
          : Single.never();
    }

    @Override
    public Single<Item> recordStatus(RolloutOrder order, RolloutStatus status) {
      return rolloutStore.orElseThrow().recordStatus(order, status);
    }

    @Override
    public Completable announce(GatewayEntry gateway) {
      return Completable.complete();
    }
  }
}
