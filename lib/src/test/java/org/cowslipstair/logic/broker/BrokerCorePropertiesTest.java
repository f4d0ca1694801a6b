package org.cowslipstair.logic.broker;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.cowslipstair.logic.backend.BackendTrackerSettings;
import org.cowslipstair.logic.backend.PoolBackendTracker;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.logic.membership.FleetView;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.Labels;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.model.fleet.MemberState;
import org.cowslipstair.model.peer.LeaseMessage;
import org.cowslipstair.model.peer.LeaseMessage.Acquire;
import org.cowslipstair.model.peer.LeaseMessage.CancelAcquire;
import org.cowslipstair.model.peer.LeaseMessage.FullPoolPolicy;
import org.cowslipstair.model.peer.LeaseMessage.HandOver;
import org.cowslipstair.model.peer.LeaseMessage.HandOverBackend;
import org.cowslipstair.model.peer.LeaseMessage.HeldLease;
import org.cowslipstair.model.peer.LeaseMessage.HeldLeases;
import org.cowslipstair.model.peer.LeaseMessage.Release;
import org.cowslipstair.model.peer.LeaseMessage.Reuse;
import org.cowslipstair.model.pool.BackendState;
import org.cowslipstair.model.pool.CallOutcome;
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.model.pool.PoolId;

class BrokerCorePropertiesTest {
  private static final long NS_PER_MS = 1_000_000L;
  private static final int SLOTS = 3;
  private static final ZoneName ZONE = new ZoneName("a");
  private static final PoolId POOL = new PoolId(new ServiceName("watch"), ZONE);
  private static final List<BackendName> BACKENDS =
      List.of(new BackendName("b0"), new BackendName("b1"));
  private static final List<GatewayId> GATEWAYS =
      List.of(
          new GatewayId(new GatewayName("g0"), 1),
          new GatewayId(new GatewayName("g1"), 1),
          new GatewayId(new GatewayName("g2"), 1));
  private static final int STEP_VALUES = 9 * 3 * 20 * 6;

  /** No sequence of messages exceeds a limit, leaves a slot busy or an acquire queued forever. */
  @Property(seed = "20", tries = 400)
  void anyMessageSequenceKeepsTheLimitsAndFreesAllSlots(
      @ForAll @Size(max = 150) List<@IntRange(max = STEP_VALUES - 1) Integer> steps) {
    PoolBackendTracker backends =
        new PoolBackendTracker(
            POOL, BackendTrackerSettings.defaults(), new Random(1), InvariantMonitor.failing());
    BrokerCore broker =
        new BrokerCore(
            POOL,
            BrokerSettings.defaults(),
            backends,
            new ColdBackendOwnership(NS_PER_MS),
            new Random(1),
            InvariantMonitor.failing());
    List<BackendServer> members = new ArrayList<>();
    for (BackendName name : BACKENDS) {
      HostPort address = new HostPort("127.0.0.1", 1);
      members.add(new BackendServer(name, Labels.empty(), ZONE, address, SLOTS, 260));
    }
    broker.configure(members, new HashSet<>(BACKENDS), 1_000 * NS_PER_MS, 0);
    broker.startTerm(view(GATEWAYS), 0);
    long nowNs = 0;
    for (int step : steps) {
      nowNs += step % 40 * NS_PER_MS;
      applyStep(broker, step, nowNs);
      for (BrokerStatus.BackendStatus row : broker.status().backends()) {
        assertThat(row.limit(), lessThanOrEqualTo(SLOTS));
      }
    }
    nowNs += 20_000 * NS_PER_MS;
    broker.onView(view(GATEWAYS), nowNs);
    broker.tick(nowNs);
    for (BrokerStatus.BackendStatus row : broker.status().backends()) {
      assertThat(row.out(), is(0));
    }
    assertThat(broker.status().queueLength(), is(0));
  }

  private static FleetView view(List<GatewayId> ids) {
    List<Member> members = new ArrayList<>();
    for (GatewayId id : ids) {
      members.add(new Member(id, ZONE, new HostPort("127.0.0.1", 1), MemberState.LIVE));
    }
    return new FleetView(1, GATEWAYS.getFirst(), members, false);
  }

  private static void applyStep(BrokerCore broker, int step, long nowNs) {
    int kind = step % 9;
    GatewayId from = GATEWAYS.get(step / 9 % 3);
    long number = step / 27 % 20 + 1;
    int detail = step / 540;
    CallReport report = new CallReport(CallOutcome.values()[detail], 20 * NS_PER_MS);
    BackendName backend = BACKENDS.get(detail % 2);
    LeaseMessage message =
        switch (kind) {
          case 0, 1, 2 ->
              new Acquire(POOL, number, (detail + 1) * 90 * NS_PER_MS, whenFull(detail), Set.of());
          case 3 -> new CancelAcquire(POOL, number);
          case 4, 5 -> new Release(POOL, number, report);
          case 6 -> new Reuse(POOL, number, report);
          case 7 -> {
            HeldLease held = new HeldLease(number, backend, 300 * NS_PER_MS, detail > 3);
            yield new HeldLeases(POOL, number + 1, List.of(held));
          }
          default ->
              new HandOver(
                  POOL,
                  number,
                  true,
                  List.of(),
                  List.of(new HandOverBackend(backend, new BackendState.Warm(), SLOTS)));
        };
    broker.onMessage(from, message, nowNs);
    if (step % 31 == 0) {
      broker.onView(view(GATEWAYS.subList(0, 2)), nowNs);
      broker.onView(view(GATEWAYS), nowNs);
    }
    if (step % 97 == 0) {
      broker.endTerm(Optional.empty(), nowNs);
      broker.startTerm(view(GATEWAYS), nowNs);
    }
    broker.tick(nowNs);
  }

  private static FullPoolPolicy whenFull(int detail) {
    return detail % 2 == 0 ? FullPoolPolicy.WAIT : FullPoolPolicy.REFUSE;
  }
}
