package org.cowslipstair.runtime.lease;

import static org.cowslipstair.runtime.lease.EventQueue.NS_PER_MS;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.cowslipstair.logic.admission.Admission.AdmissionRequest;
import org.cowslipstair.logic.admission.NotAdmittedException;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.logic.lessee.Lease;
import org.cowslipstair.logic.lessee.LesseeSettings;
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
import org.cowslipstair.model.peer.LeaseMessage;
import org.cowslipstair.model.peer.MembershipMessage.PoolFreeSlots;
import org.cowslipstair.model.pool.CallOutcome;
import org.cowslipstair.model.pool.CallReport;

/**
 * Counts the lease messages of 18 gateways for one service of 14 backend servers in 3 zones, in
 * virtual time. The main method prints a table by load and linger time.
 */
final class LeaseCostRun {
  /** Payload size of each message after the names have been exchanged; a frame adds four bytes. */
  private static final Map<String, Integer> PAYLOAD_BYTES =
      Map.of(
          "Acquire", 14,
          "Grant", 15,
          "Release", 13,
          "Reuse", 13,
          "CancelAcquire", 7,
          "Refuse", 9,
          "Recall", 3,
          "Withdraw", 3);

  private static final int FRAME_HEADER_BYTES = 4;
  private static final long WRITE_WINDOW_NS = 500_000;
  private static final int GATEWAY_COUNT = 18;
  private static final int BACKEND_COUNT = 14;
  private static final int SLOTS = 3;
  private static final double MEAN_SERVICE_MS = 20;
  private static final long WARM_UP_MS = 10_000;
  private static final long DURATION_MS = 30_000;
  private static final ServiceName SERVICE = new ServiceName("watch");
  private final EventQueue events = new EventQueue();
  private final Random random = new Random(1);
  private final Map<GatewayName, LeaseRuntime> gateways = new TreeMap<>();
  private final Map<GatewayName, BrokerAdmission> admissions = new TreeMap<>();
  private final List<Member> members = new ArrayList<>();
  private final Map<String, Integer> messages = new TreeMap<>();
  private final List<Double> admissionWaitsMs = new ArrayList<>();
  private final ConfigSnapshot snapshot = snapshot();
  private final double callsPerSecond;
  private final Map<List<GatewayName>, Long> lastWrites = new HashMap<>();
  private long writes;
  private long nextCallId;
  private long idleReuses;
  private long refusedCalls;

  private LeaseCostRun(double load, LesseeSettings settings) {
    callsPerSecond = load * BACKEND_COUNT * SLOTS / MEAN_SERVICE_MS * 1_000 / GATEWAY_COUNT;
    for (int i = 0; i < GATEWAY_COUNT; i++) {
      GatewayId id = new GatewayId(new GatewayName("g" + i), 1);
      HostPort address = new HostPort("127.0.0.1", 1);
      members.add(new Member(id, zone(i), address, MemberState.LIVE));
    }
    members.forEach(member -> start(member, settings));
  }

  private static ZoneName zone(int i) {
    return new ZoneName("z" + i % 3);
  }

  private static ConfigSnapshot snapshot() {
    List<ConfigObject> objects = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      objects.add(new Zone(zone(i), Labels.empty()));
    }
    for (int i = 0; i < BACKEND_COUNT; i++) {
      BackendName name = new BackendName("b" + i);
      HostPort address = new HostPort("127.0.0.1", 1);
      objects.add(new BackendServer(name, Labels.empty(), zone(i), address, SLOTS, 260));
    }
    Selector all = Selector.everything();
    objects.add(new Service(SERVICE, Labels.empty(), all, all, PolicyKind.BROKER, 1_000, 1, false));
    return ConfigSnapshot.of(1, objects);
  }

  private void start(Member member, LesseeSettings settings) {
    LeaseRuntime runtime =
        new LeaseRuntime(
            member.id(),
            member.zone(),
            events::nowNs,
            Runnable::run,
            random,
            InvariantMonitor.failing(),
            new LeaseRuntime.Ports(() -> snapshot, (to, m) -> send(member, to, m), _ -> {}),
            settings);
    GatewayName name = member.id().name();
    gateways.put(name, runtime);
    admissions.put(
        name,
        new BrokerAdmission(
            runtime, member.zone(), events::nowNs, () -> snapshot, InvariantMonitor.failing()));
    runtime.onView(new FleetView(1, member.id(), members, false));
    runtime.onSnapshot(snapshot);
    for (Member peer : members) {
      runtime.onPeerConnected(peer.id());
    }
    tick(runtime);
    heartbeat(member);
    events.schedule(random.nextInt(1_000_000), () -> onArrival(member));
  }

  private void tick(LeaseRuntime runtime) {
    runtime.tick(events.nowNs());
    events.schedule(2 * NS_PER_MS, () -> tick(runtime));
  }

  private void heartbeat(Member member) {
    List<PoolFreeSlots> freeSlots = gateways.get(member.id().name()).freeSlots();
    gateways.values().forEach(other -> other.onFreeSlots(member.id().name(), freeSlots));
    events.schedule(250 * NS_PER_MS, () -> heartbeat(member));
  }

  private void send(Member from, GatewayName to, LeaseMessage message) {
    if (events.nowNs() > WARM_UP_MS * NS_PER_MS) {
      messages.merge(message.getClass().getSimpleName(), 1, Integer::sum);
      long window = events.nowNs() / WRITE_WINDOW_NS;
      Long lastWindow = lastWrites.put(List.of(from.id().name(), to), window);
      writes += lastWindow != null && lastWindow == window ? 0 : 1;
    }
    ZoneName target = members.get(Integer.parseInt(to.value().substring(1))).zone();
    long delayNs = target.equals(from.zone()) ? 200_000 : 1_000_000;
    events.schedule(delayNs, () -> gateways.get(to).onMessage(from.id(), message));
  }

  private void onArrival(Member member) {
    call(member, gateways.get(member.id().name()), admissions.get(member.id().name()));
    double gapMs = -Math.log(1 - random.nextDouble()) * 1_000 / callsPerSecond;
    events.schedule((long) (gapMs * NS_PER_MS), () -> onArrival(member));
  }

  private void call(Member member, LeaseRuntime runtime, BrokerAdmission admission) {
    long arrivedNs = events.nowNs();
    AdmissionRequest request =
        new AdmissionRequest(SERVICE, arrivedNs + 1_000 * NS_PER_MS, false, Set.of());
    Optional<LeasePermit> idlePermit = admission.acquireIdle(request);
    if (idlePermit.isPresent()) {
      idleReuses += arrivedNs > WARM_UP_MS * NS_PER_MS ? 1 : 0;
      serve(arrivedNs, idlePermit.get());
      return;
    }
    CompletableFuture<Lease> leaseFuture = new CompletableFuture<>();
    leaseFuture.whenComplete(
        (lease, refusal) -> onAdmissionResult(arrivedNs, admission, lease, refusal != null));
    nextCallId++;
    runtime.admit(nextCallId, request, leaseFuture);
  }

  private void onAdmissionResult(
      long arrivedNs, BrokerAdmission admission, Lease lease, boolean wasRefused) {
    if (wasRefused) {
      refusedCalls += arrivedNs > WARM_UP_MS * NS_PER_MS ? 1 : 0;
      return;
    }
    try {
      serve(arrivedNs, admission.createPermit(lease));
    } catch (NotAdmittedException e) {
      throw new IllegalStateException(e);
    }
  }

  private void serve(long arrivedNs, LeasePermit permit) {
    if (arrivedNs > WARM_UP_MS * NS_PER_MS) {
      admissionWaitsMs.add((double) (events.nowNs() - arrivedNs) / NS_PER_MS);
    }
    long serviceNs = (long) (-Math.log(1 - random.nextDouble()) * MEAN_SERVICE_MS * NS_PER_MS);
    events.schedule(
        serviceNs, () -> permit.release(new CallReport(CallOutcome.ANSWERED, serviceNs)));
  }

  private String run() {
    events.runUntil(DURATION_MS * NS_PER_MS);
    double[] waits = admissionWaitsMs.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    double calls = waits.length;
    int sent = messages.values().stream().mapToInt(Integer::intValue).sum();
    int payloadBytes = 0;
    for (Map.Entry<String, Integer> entry : messages.entrySet()) {
      payloadBytes += entry.getValue() * PAYLOAD_BYTES.getOrDefault(entry.getKey(), 0);
    }
    return "%5.2f messages in %.2f writes, %4.1f + %4.1f bytes a call, %4.1f%% from idle, wait ms mean %.2f p50 %.2f p99 %.2f, refused %d"
        .formatted(
            sent / calls,
            writes / calls,
            payloadBytes / calls,
            FRAME_HEADER_BYTES * sent / calls,
            100 * idleReuses / calls,
            Arrays.stream(waits).average().orElse(0),
            waits[waits.length / 2],
            waits[(int) (waits.length * 0.99)],
            refusedCalls);
  }

  private static LesseeSettings lingerSettings(long lingerMs, double freeShare) {
    LesseeSettings defaults = LesseeSettings.defaults();
    return new LesseeSettings(
        defaults.resendNs(),
        defaults.retryNs(),
        defaults.silenceNs(),
        Integer.getInteger("waits", defaults.mostWaits()),
        lingerMs * NS_PER_MS,
        defaults.lingerIntervals(),
        freeShare,
        defaults.recallQuietNs(),
        defaults.cancelGraceNs(),
        defaults.warmNewsNs());
  }

  /** Prints the table to standard output. */
  public static void main(String[] args) {
    for (double load : new double[] {0.2, 0.4, 0.6, 0.85}) {
      for (long lingerMs : new long[] {0, 20, 50}) {
        for (double share : lingerMs == 0 ? new double[] {1} : new double[] {0, 0.4, 0.6}) {
          System.out.printf(
              "load %.2f linger %2d ms share %.1f: %s%n",
              load, lingerMs, share, new LeaseCostRun(load, lingerSettings(lingerMs, share)).run());
        }
      }
    }
  }
}
