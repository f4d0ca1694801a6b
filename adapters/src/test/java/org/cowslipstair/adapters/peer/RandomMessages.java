package org.cowslipstair.adapters.peer;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.ConfigVersion;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.ObjectKind;
import org.cowslipstair.model.config.RevisionRange;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.config.StoreId;
import org.cowslipstair.model.config.StoredObject;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.model.fleet.MemberState;
import org.cowslipstair.model.peer.ConfigMessage;
import org.cowslipstair.model.peer.LeaseMessage;
import org.cowslipstair.model.peer.MembershipMessage;
import org.cowslipstair.model.peer.PeerMessage;
import org.cowslipstair.model.pool.BackendState;
import org.cowslipstair.model.pool.CallOutcome;
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.model.pool.PoolId;

/** Makes messages of every kind with random fields. */
final class RandomMessages {
  static final Member SENDER =
      new Member(
          new GatewayId(new GatewayName("gw-1"), 7),
          new ZoneName("zone-1"),
          new HostPort("10.0.0.1", 7_000),
          MemberState.LIVE);

  private final Random random;
  private final List<Supplier<PeerMessage>> kinds;

  RandomMessages(long seed) {
    this.random = new Random(seed);
    this.kinds =
        List.of(
            () -> new MembershipMessage.Hello(random.nextInt(9), member()),
            this::heartbeat,
            () -> new MembershipMessage.Roster(listOf(this::member)),
            () -> new MembershipMessage.Superseded(member()),
            () -> new ConfigMessage.ConfigRequest(store(), number(), number()),
            () -> new ConfigMessage.AcceptStore(store(), number()),
            () ->
                new ConfigMessage.ConfigObjects(
                    store(),
                    number(),
                    number(),
                    number(),
                    1,
                    3,
                    listOf(() -> new RevisionRange(number(), number())),
                    listOf(this::object)),
            () ->
                new LeaseMessage.Acquire(
                    pool(),
                    number(),
                    number(),
                    any(LeaseMessage.FullPoolPolicy.values()),
                    new HashSet<>(listOf(this::backend))),
            () -> new LeaseMessage.CancelAcquire(pool(), number()),
            () ->
                new LeaseMessage.Grant(
                    pool(), number(), backend(), number(), random.nextBoolean(), count()),
            () ->
                new LeaseMessage.Refuse(
                    pool(),
                    number(),
                    any(LeaseMessage.RefuseReason.values()),
                    listOf(() -> new LeaseMessage.ZoneFreeSlots(zone(), count()))),
            () -> new LeaseMessage.Reuse(pool(), number(), report()),
            () -> new LeaseMessage.Release(pool(), number(), report()),
            () -> new LeaseMessage.Recall(pool(), count()),
            () -> new LeaseMessage.HeldLeasesRequest(pool()),
            () ->
                new LeaseMessage.HeldLeases(
                    pool(),
                    number(),
                    listOf(
                        () ->
                            new LeaseMessage.HeldLease(
                                number(), backend(), number(), random.nextBoolean()))),
            this::handOver);
  }

  PeerMessage next() {
    return kinds.get(random.nextInt(kinds.size())).get();
  }

  List<PeerMessage> oneOfEachKind() {
    return kinds.stream().map(Supplier::get).toList();
  }

  private PeerMessage heartbeat() {
    Member sender = new Member(SENDER.id(), SENDER.zone(), SENDER.peerAddress(), member().state());
    return new MembershipMessage.Heartbeat(
        number(),
        sender,
        count(),
        new ConfigVersion(store(), number(), number(), number()),
        count(),
        listOf(() -> new MembershipMessage.PoolFreeSlots(pool(), count())));
  }

  private PeerMessage handOver() {
    return new LeaseMessage.HandOver(
        pool(),
        number(),
        random.nextBoolean(),
        listOf(
            () ->
                new LeaseMessage.HandOverLease(
                    member().id(), number(), backend(), number(), random.nextBoolean())),
        listOf(() -> new LeaseMessage.HandOverBackend(backend(), state(), count())));
  }

  private <T> List<T> listOf(Supplier<T> item) {
    List<T> items = new ArrayList<>();
    for (int i = random.nextInt(4); i > 0; i--) {
      items.add(item.get());
    }
    return items;
  }

  private <T> T any(T[] values) {
    return values[random.nextInt(values.length)];
  }

  private long number() {
    return random.nextLong() >> random.nextInt(64);
  }

  private int count() {
    return random.nextInt(1, Integer.MAX_VALUE) >> random.nextInt(31);
  }

  private String name(String prefix) {
    return prefix + "-" + random.nextInt(6);
  }

  private ZoneName zone() {
    return new ZoneName(name("zone"));
  }

  private BackendName backend() {
    return new BackendName(name("backend"));
  }

  private StoreId store() {
    return new StoreId(name("store"));
  }

  private PoolId pool() {
    return new PoolId(new ServiceName(name("service")), zone());
  }

  private CallReport report() {
    return new CallReport(any(CallOutcome.values()), number());
  }

  private Member member() {
    return new Member(
        new GatewayId(new GatewayName(name("gw")), number()),
        zone(),
        new HostPort(name("host"), random.nextInt(65_536)),
        any(MemberState.values()));
  }

  private StoredObject object() {
    ObjectKind kind = any(ObjectKind.values());
    return new StoredObject(
        new ObjectKey(kind, name("o")), number(), name("c"), random.nextBoolean(), name("{ü"));
  }

  private BackendState state() {
    return switch (random.nextInt(5)) {
      case 0 -> new BackendState.Cold(count());
      case 1 -> new BackendState.Warm();
      case 2 -> new BackendState.Shedding(number());
      case 3 -> new BackendState.Suspect(number(), count());
      default -> new BackendState.Leaving();
    };
  }
}
