package org.cowslipstair.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.rollout.RolloutOrder;
import org.cowslipstair.model.rollout.RolloutStatus;
import org.cowslipstair.model.rollout.ServiceVersion;
import org.cowslipstair.model.tenant.KeyDigest;
import org.cowslipstair.model.tenant.Quota;
import org.cowslipstair.model.tenant.Tenant;
import org.cowslipstair.model.tenant.TenantName;
import org.cowslipstair.model.traffic.BackendInstance;
import org.cowslipstair.model.traffic.CallerBounds;
import org.cowslipstair.model.traffic.GatewayEntry;
import org.cowslipstair.model.traffic.RequestKind;
import org.cowslipstair.model.traffic.Route;
import org.cowslipstair.model.traffic.ServiceConfig;
import org.cowslipstair.model.traffic.StorePosition;
import org.cowslipstair.model.traffic.TrafficPlan;
import org.cowslipstair.model.traffic.WeightedService;
import org.cowslipstair.port.ObjectFeed.Changes;
import org.cowslipstair.port.ObjectFeed.Collection;
import org.cowslipstair.port.ObjectFeed.Content;
import org.cowslipstair.port.ObjectFeed.Item;
import org.junit.jupiter.api.Test;

final class RelayCodecTest {
  private static final long SENDER_NS = 5_000_000_000L;
  private static final long RECEIVER_NS = 900_000_000_000L;
  private static final ServiceName SERVICE = new ServiceName("s");
  private static final ZoneName ZONE = new ZoneName("z");
  private final RelayCodec sender = new RelayCodec(() -> SENDER_NS);
  private final RelayCodec receiver = new RelayCodec(() -> RECEIVER_NS);

  private RelayMessage roundTrip(RelayMessage message) throws RelayException {
    return receiver.decode(sender.encode(message));
  }

  private static Item backend(long coldUntilNs) {
    BackendInstance instance =
        new BackendInstance(
            new BackendName("b"),
            SERVICE,
            new HostPort("10.0.0.1", 80),
            ZONE,
            3,
            true,
            coldUntilNs,
            77,
            12,
            Optional.of(new ServiceVersion("v2")));
    return new Item("b", 4, new Content.Backend(instance));
  }

  @Test
  void coldDeadlineIsSentAsRemainingTime() throws RelayException {
    RelayMessage sent =
        new RelayMessage.Snapshot(
            Collection.BACKENDS,
            new StorePosition(2, 9),
            List.of(backend(SENDER_NS + 3_000_000_000L)));
    RelayMessage expected =
        new RelayMessage.Snapshot(
            Collection.BACKENDS,
            new StorePosition(2, 9),
            List.of(backend(RECEIVER_NS + 3_000_000_000L)));
    assertThat(roundTrip(sent), is(expected));
  }

  @Test
  void updatesAndProofsRoundTrip() throws RelayException {
    GatewayEntry gateway = new GatewayEntry("g", ZONE, new HostPort("10.0.0.2", 81));
    Changes changes =
        new Changes(
            List.of(
                new Item("g", 5, new Content.Gateway(gateway)),
                new Item("z", 6, new Content.ZoneOut(ZONE))),
            Set.of("gone"),
            new StorePosition(2, 7));
    RelayMessage sent = new RelayMessage.Update(Collection.GATEWAYS, changes, 1_500);
    assertThat(roundTrip(sent), is(sent));
    RelayMessage proof =
        new RelayMessage.CurrencyProof(
            12,
            Map.of(
                Collection.CONFIGURATION, new StorePosition(1, 7),
                Collection.BACKENDS, new StorePosition(2, 9)));
    assertThat(roundTrip(proof), is(proof));
  }

  @Test
  void ordersOfRolloutsRoundTrip() throws RelayException {
    ServiceVersion target = new ServiceVersion("v2");
    ServiceName service = new ServiceName("s");
    RolloutOrder fresh = new RolloutOrder("a", 5, service, target, 12_000, Optional.empty());
    RolloutOrder ended =
        new RolloutOrder(
            "b",
            6,
            service,
            target,
            12_000,
            Optional.of(new RolloutStatus(RolloutStatus.State.ROLLED_BACK, target)));
    RelayMessage sent =
        new RelayMessage.Snapshot(
            Collection.ROLLOUTS,
            new StorePosition(0, 7),
            List.of(
                new Item("a", 5, new Content.Rollout(fresh)),
                new Item("b", 6, new Content.Rollout(ended))));
    assertThat(roundTrip(sent), is(sent));
  }

  @Test
  void configurationRoundTrips() throws RelayException {
    Route route =
        new Route(
            "r",
            "a.example",
            "/a/",
            RequestKind.UPLOAD,
            1_200,
            300,
            2,
            3,
            List.of(
                new WeightedService(SERVICE, 90), new WeightedService(new ServiceName("t"), 10)));
    ServiceConfig serviceConfig = new ServiceConfig(SERVICE, "/healthz", 260, 5.4);
    CallerBounds bounds = new CallerBounds(1, 2, 3, 4);
    Tenant tenant =
        new Tenant(
            new TenantName("t-1"),
            Set.of(KeyDigest.of("k-1")),
            Optional.of(new Quota(2.5, 4)),
            OptionalInt.of(1));
    TrafficPlan plan =
        new TrafficPlan(12, bounds, List.of(serviceConfig), List.of(route), List.of(tenant));
    RelayMessage sent =
        new RelayMessage.Snapshot(
            Collection.CONFIGURATION,
            new StorePosition(2, 9),
            List.of(new Item("main", 8, new Content.Plan(plan))));
    RelayMessage.Snapshot received = (RelayMessage.Snapshot) roundTrip(sent);
    TrafficPlan decoded = ((Content.Plan) received.items().getFirst().content()).plan();
    assertThat(decoded.version(), is(12L));
    assertThat(decoded.bounds(), is(bounds));
    assertThat(decoded.service(SERVICE).orElseThrow(), is(serviceConfig));
    assertThat(decoded.routes(), is(List.of(route)));
    assertThat(decoded.tenants(), is(List.of(tenant)));
  }

  @Property(seed = "7231", tries = 500)
  void randomBytesDecodeOrThrowRelayException(@ForAll long seed) {
    byte[] bytes = new byte[new Random(seed).nextInt(200)];
    new Random(seed).nextBytes(bytes);
    try {
      assertThat(receiver.decode(bytes), instanceOf(RelayMessage.class));
    } catch (RelayException e) {
      assertThat(e.getMessage().isEmpty(), is(false));
    }
  }

  @Test
  void truncatedMessageThrowsRelayException() {
    byte[] encoded =
        sender.encode(
            new RelayMessage.Snapshot(
                Collection.BACKENDS, new StorePosition(2, 9), List.of(backend(0))));
    for (int length = 0; length < encoded.length; length++) {
      byte[] truncated = java.util.Arrays.copyOf(encoded, length);
      assertThrows(RelayException.class, () -> receiver.decode(truncated));
    }
  }
}
