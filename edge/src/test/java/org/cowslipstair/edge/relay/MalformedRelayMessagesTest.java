package org.cowslipstair.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.io.IOException;
import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.AfterContainer;
import org.cowslipstair.edge.Mutations;
import org.cowslipstair.edge.ProtocolHeaders;
import org.cowslipstair.edge.backend.BackendTable;
import org.cowslipstair.edge.backend.NoticeReader;
import org.cowslipstair.edge.http.ServerConnector;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.logic.traffic.TrafficStateCache;
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
import org.cowslipstair.model.traffic.TrafficState;
import org.cowslipstair.model.traffic.WeightedService;
import org.cowslipstair.port.ObjectFeed.Changes;
import org.cowslipstair.port.ObjectFeed.Collection;
import org.cowslipstair.port.ObjectFeed.Content;
import org.cowslipstair.port.ObjectFeed.Item;

/** Malformed messages of the relay, and what becomes of those that can be read. */
final class MalformedRelayMessagesTest {
  private static final long NOW_NS = 50_000_000_000L;

  /** A cold start lasts seconds; a server that claims more is believed this long. */
  private static final long MAX_COLD_NS = 86_400_000_000_000L;

  private static final ServiceName SERVICE = new ServiceName("s");
  private static final ZoneName ZONE = new ZoneName("z");
  private static final MultiThreadIoEventLoopGroup GROUP =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final RelayCodec codec = new RelayCodec(() -> NOW_NS);

  @AfterContainer
  static void stop() {
    GROUP.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static List<RelayMessage> messages() {
    Route route =
        new Route(
            "r",
            "a.example",
            "/a/",
            RequestKind.SAFE,
            1_200,
            300,
            2,
            3,
            List.of(new WeightedService(SERVICE, 90)));
    TrafficPlan plan =
        new TrafficPlan(
            12,
            CallerBounds.defaults(),
            List.of(new ServiceConfig(SERVICE, "/healthz", 260, 5.4)),
            List.of(route));
    BackendInstance backend =
        new BackendInstance(
            new BackendName("b"), SERVICE, new HostPort("127.0.0.1", 9), ZONE, 3, false, 0, 77, 12);
    GatewayEntry gateway = new GatewayEntry("g", ZONE, new HostPort("127.0.0.1", 81));
    StorePosition position = new StorePosition(2, 9);
    return List.of(
        new RelayMessage.Snapshot(
            Collection.CONFIGURATION,
            position,
            List.of(new Item("main", 8, new Content.Plan(plan)))),
        new RelayMessage.Snapshot(
            Collection.BACKENDS, position, List.of(new Item("b", 8, new Content.Backend(backend)))),
        new RelayMessage.Update(
            Collection.GATEWAYS,
            new Changes(
                List.of(new Item("g", 5, new Content.Gateway(gateway))),
                Set.of("gone"),
                new StorePosition(2, 10)),
            1_500),
        new RelayMessage.Update(
            Collection.ZONES_OUT,
            new Changes(
                List.of(new Item("y", 9, new Content.ZoneOut(new ZoneName("y")))),
                Set.of(),
                new StorePosition(2, 10)),
            0),
        new RelayMessage.CurrencyProof(12, Map.of(Collection.BACKENDS, new StorePosition(1, 7))));
  }

  @Property(seed = "2822", tries = 8_000)
  void whatIsReadOfAMalformedMessageCanBeUsed(@ForAll long seed) throws IOException {
    Random random = new Random(seed);
    TrafficStateCache cache = new TrafficStateCache(new InvariantMonitor(_ -> {}));
    List<RelayMessage> messages = messages();
    int malformed = random.nextInt(messages.size());
    for (int i = 0; i < messages.size(); i++) {
      byte[] bytes = codec.encode(messages.get(i));
      try {
        apply(cache, codec.decode(i == malformed ? malformed(bytes, random) : bytes));
      } catch (RelayException expected) {
        // The connection is closed.
      }
    }
    use(cache.state(NOW_NS));
    cache.gateways().forEach(GatewayEntry::relayAddress);
  }

  private static byte[] malformed(byte[] bytes, Random random) throws IOException {
    return random.nextInt(3) == 0
        ? Mutations.mutate(bytes, random)
        : Mutations.mutateValue(bytes, random);
  }

  private static void apply(TrafficStateCache cache, RelayMessage message) {
    switch (message) {
      case RelayMessage.Snapshot(var collection, var position, var items) ->
          cache.replace(collection, items, position, NOW_NS, 0);
      case RelayMessage.Update(var collection, var changes, long graceMs) ->
          cache.apply(collection, changes, NOW_NS, graceMs * 1_000_000L);
      case RelayMessage.CurrencyProof(long ageMs, var _) -> assertThat(ageMs >= 0, is(true));
    }
  }

  private static void use(TrafficState state) {
    new BackendTable(
            new ServerConnector(GROUP.next(), "X-Id", 100),
            new NoticeReader(
                new ProtocolHeaders("a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k")),
            new Random(1),
            () -> NOW_NS)
        .update(state);
    for (BackendInstance backend : state.backends()) {
      assertThat(backend.slots(), greaterThan(0));
      assertThat(backend.coldUntilNs() - NOW_NS <= MAX_COLD_NS, is(true));
    }
    if (state.plan().isEmpty()) {
      return;
    }
    TrafficPlan plan = state.plan().get();
    CallerBounds bounds = plan.bounds();
    new HttpRequestDecoder(new HttpDecoderConfig().setMaxHeaderSize(bounds.maxHeadBytes()));
    assertThat(bounds.headTimeoutMs(), greaterThan(0L));
    assertThat(bounds.idleTimeoutMs(), greaterThan(0L));
    assertThat(bounds.maxBodyBytes() >= 0, is(true));
    for (ServiceConfig service : plan.services()) {
      assertThat(service.healthPath(), URI.create(service.healthPath()).getPath().startsWith("/"));
      assertThat(service.coldRequestsPerSecond() >= 0, is(true));
      assertThat(service.maxConnections(), greaterThan(0));
    }
    plan.route("a.example", "/a/b");
  }
}
