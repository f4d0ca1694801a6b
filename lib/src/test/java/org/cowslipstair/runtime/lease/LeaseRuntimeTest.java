package org.cowslipstair.runtime.lease;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.cowslipstair.logic.admission.Admission.AdmissionRequest;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.logic.lessee.Lease;
import org.cowslipstair.logic.membership.BrokerPlacement;
import org.cowslipstair.logic.membership.FleetView;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.ConfigObject;
import org.cowslipstair.model.config.ConfigSnapshot;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.Labels;
import org.cowslipstair.model.config.PolicyKind;
import org.cowslipstair.model.config.Selector;
import org.cowslipstair.model.config.Service;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.config.Zone;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.model.fleet.MemberState;
import org.cowslipstair.model.pool.CallOutcome;
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.model.pool.PoolId;
import org.junit.jupiter.api.Test;

class LeaseRuntimeTest {
  private static final long NS_PER_MS = 1_000_000L;
  private static final ZoneName ZONE = new ZoneName("a");
  private static final ServiceName SERVICE = new ServiceName("watch");
  private final Map<GatewayName, LeaseRuntime> runtimes = new HashMap<>();
  private final Map<GatewayName, GatewayId> ids = new HashMap<>();
  private final ConfigSnapshot snapshot = snapshot(2, 3);
  private long nowNs = 1;
  private int sentMessages;
  private long nextCallId = 1;

  private static ConfigSnapshot snapshot(int backends, int slots) {
    List<ConfigObject> objects = new ArrayList<>();
    objects.add(new Zone(ZONE, Labels.empty()));
    for (int i = 0; i < backends; i++) {
      objects.add(
          new BackendServer(
              new BackendName("b" + i),
              Labels.empty(),
              ZONE,
              new HostPort("127.0.0.1", 1),
              slots,
              260));
    }
    Selector all = Selector.everything();
    objects.add(new Service(SERVICE, Labels.empty(), all, all, PolicyKind.BROKER, 1_000, 1, false));
    return ConfigSnapshot.of(1, objects);
  }

  private void start(int gateways) {
    for (int i = 0; i < gateways; i++) {
      GatewayId id = new GatewayId(new GatewayName("g" + i), 1);
      ids.put(id.name(), id);
      runtimes.put(id.name(), createRuntime(id));
    }
    for (GatewayId gateway : ids.values()) {
      runtimes.get(gateway.name()).onView(view(gateway));
      runtimes.get(gateway.name()).onSnapshot(snapshot);
      ids.values().stream()
          .filter(peer -> !peer.equals(gateway))
          .forEach(runtimes.get(gateway.name())::onPeerConnected);
    }
    advance(500);
  }

  private LeaseRuntime createRuntime(GatewayId id) {
    return new LeaseRuntime(
        id,
        ZONE,
        () -> nowNs,
        Runnable::run,
        new Random(1),
        InvariantMonitor.failing(),
        () -> snapshot,
        (to, message) -> {
          sentMessages++;
          runtimes.get(to).onMessage(id, message);
        },
        _ -> {});
  }

  private FleetView view(GatewayId self) {
    List<Member> members =
        ids.values().stream()
            .sorted()
            .map(id -> new Member(id, ZONE, new HostPort("127.0.0.1", 1), MemberState.LIVE))
            .toList();
    return new FleetView(1, self, members, false);
  }

  private void advance(long ms) {
    for (long i = 0; i < ms; i++) {
      nowNs += NS_PER_MS;
      runtimes.values().forEach(runtime -> runtime.tick(nowNs));
    }
  }

  private CompletableFuture<Lease> admit(LeaseRuntime runtime, boolean freeSlotOnly) {
    long deadlineNs = nowNs + 500 * NS_PER_MS;
    CompletableFuture<Lease> leaseFuture = new CompletableFuture<>();
    runtime.admit(
        nextCallId++,
        new AdmissionRequest(SERVICE, deadlineNs, freeSlotOnly, Set.of()),
        leaseFuture);
    return leaseFuture;
  }

  private LeaseRuntime broker() {
    GatewayId any = ids.values().iterator().next();
    PoolId pool = new PoolId(SERVICE, ZONE);
    return runtimes.get(BrokerPlacement.brokerOf(pool, view(any)).orElseThrow().id().name());
  }

  @Test
  void gatewayThatIsItsOwnBrokerSendsNoMessages() {
    start(1);

    Lease lease = admit(broker(), false).join();
    broker().release(lease, new CallReport(CallOutcome.ANSWERED, NS_PER_MS));

    assertThat(sentMessages, is(0));
    assertThat(broker().freeSlots().getFirst().free(), is(2));
  }

  @Test
  void slotOfColdBackendIsGrantedOnceAcrossGateways() {
    start(3);
    List<CompletableFuture<Lease>> leaseFutures = new ArrayList<>();
    for (LeaseRuntime runtime : runtimes.values()) {
      leaseFutures.add(admit(runtime, false));
      leaseFutures.add(admit(runtime, true));
    }

    long grantedCalls =
        leaseFutures.stream().filter(future -> future.isDone() && !isRefused(future)).count();
    assertThat(grantedCalls, is(2L));
    leaseFutures.stream().filter(future -> future.isDone() && !isRefused(future)).toList().stream()
        .map(CompletableFuture::join)
        .forEach(
            lease ->
                runtimes
                    .values()
                    .forEach(
                        runtime ->
                            runtime.release(lease, new CallReport(CallOutcome.ANSWERED, 1000))));
    long waitingCalls = leaseFutures.stream().filter(future -> !future.isDone()).count();
    assertThat(waitingCalls, lessThanOrEqualTo(1L));
  }

  private static boolean isRefused(CompletableFuture<Lease> leaseFuture) {
    return leaseFuture.isCompletedExceptionally();
  }
}
