package org.cowslipstair.runtime.lease;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import org.cowslipstair.logic.admission.Admission.AdmissionRequest;
import org.cowslipstair.logic.admission.NotAdmittedException;
import org.cowslipstair.logic.admission.Permit;
import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.logic.invariant.InvariantMonitor;
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
import org.cowslipstair.port.MonotonicClock;
import org.cowslipstair.runtime.ControlLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Admits calls of real threads through the broker on the same gateway. */
class BrokerAdmissionTest {
  private static final ServiceName SERVICE = new ServiceName("watch");
  private static final ZoneName ZONE = new ZoneName("a");
  private static final int SLOTS = 3;
  private static final int BACKEND_COUNT = 3;
  private final MonotonicClock clock = MonotonicClock.system();
  private final InvariantMonitor monitor = new InvariantMonitor(_ -> {});
  private final ControlLoop controlLoop = new ControlLoop("test-control", clock);
  private final AtomicReference<ConfigSnapshot> snapshot =
      new AtomicReference<>(snapshot(Labels.empty()));
  private final Map<BackendName, AtomicInteger> runningCalls = new ConcurrentHashMap<>();
  private final AtomicInteger maxRunningCalls = new AtomicInteger();
  private LeaseRuntime runtime;
  private BrokerAdmission admission;

  private static ConfigSnapshot snapshot(Labels zoneLabels) {
    List<ConfigObject> objects = new ArrayList<>();
    objects.add(new Zone(ZONE, zoneLabels));
    for (int i = 0; i < BACKEND_COUNT; i++) {
      BackendName name = new BackendName("b" + i);
      HostPort address = new HostPort("127.0.0.1", 1);
      objects.add(new BackendServer(name, Labels.empty(), ZONE, address, SLOTS, 260));
    }
    Selector all = Selector.everything();
    objects.add(
        new Service(SERVICE, Labels.empty(), all, all, PolicyKind.BROKER, 20_000, 1, false));
    return ConfigSnapshot.of(1, objects);
  }

  @BeforeEach
  void start() throws InterruptedException {
    GatewayId self = new GatewayId(new GatewayName("g0"), 1);
    Member member = new Member(self, ZONE, new HostPort("127.0.0.1", 1), MemberState.LIVE);
    runtime =
        new LeaseRuntime(
            self,
            ZONE,
            clock,
            controlLoop,
            new Random(1),
            monitor,
            snapshot::get,
            (_, _) -> {},
            _ -> {});
    admission = new BrokerAdmission(runtime, ZONE, clock, snapshot::get, monitor);
    CountDownLatch started = new CountDownLatch(1);
    controlLoop.execute(
        () -> {
          runtime.onView(new FleetView(1, self, List.of(member), false));
          runtime.onSnapshot(snapshot.get());
          started.countDown();
        });
    started.await();
    controlLoop.schedulePeriodically(2, runtime::tick);
  }

  @AfterEach
  void stop() {
    controlLoop.close();
  }

  private AdmissionRequest request(long waitMs) {
    long deadlineNs = clock.nowNs() + TimeUnit.MILLISECONDS.toNanos(waitMs);
    return new AdmissionRequest(SERVICE, deadlineNs, false, Set.of());
  }

  private boolean call() throws InterruptedException {
    try {
      Permit permit = admission.admit(request(15_000));
      if (!permit.canStartCall()) {
        permit.release(CallReport.unused());
        return false;
      }
      AtomicInteger count =
          runningCalls.computeIfAbsent(permit.backend().name(), _ -> new AtomicInteger());
      maxRunningCalls.accumulateAndGet(count.incrementAndGet(), Math::max);
      LockSupport.parkNanos(1_000_000);
      count.decrementAndGet();
      permit.release(new CallReport(CallOutcome.ANSWERED, 1_000_000));
      return true;
    } catch (NotAdmittedException e) {
      return false;
    }
  }

  @Test
  void concurrentCallsNeverExceedSlots() throws InterruptedException {
    LongAdder servedCalls = new LongAdder();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      threads.add(
          Thread.ofVirtual()
              .start(
                  () -> {
                    try {
                      for (int n = 0; n < 50; n++) {
                        servedCalls.add(call() ? 1 : 0);
                      }
                    } catch (InterruptedException e) {
                      throw new IllegalStateException(e);
                    }
                  }));
    }
    for (Thread thread : threads) {
      thread.join();
    }

    assertThat(servedCalls.sum(), greaterThan(1_000L));
    assertThat(maxRunningCalls.get(), lessThanOrEqualTo(SLOTS));
    assertThat(monitor.violationCount(Invariant.LEASES_WITHIN_LIMIT), is(0L));
    assertThat(monitor.violationCount(Invariant.ONE_GRANT_PER_REQUEST), is(0L));
  }

  @Test
  void interruptedThreadsLeakNoSlot() throws Exception {
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      Thread thread =
          Thread.ofVirtual()
              .start(
                  () -> {
                    try {
                      Permit permit = admission.admit(request(15_000));
                      permit.release(new CallReport(CallOutcome.ANSWERED, 1_000));
                    } catch (InterruptedException | NotAdmittedException expected) {
                      Thread.currentThread().interrupt();
                    }
                  });
      threads.add(thread);
    }
    threads.forEach(Thread::interrupt);
    for (Thread thread : threads) {
      thread.join();
    }

    for (int i = 0; i < BACKEND_COUNT; i++) {
      assertThat(call(), is(true));
    }
  }

  @Test
  void permitMayNotStartOnceZoneIsOut() throws Exception {
    Permit permit = admission.admit(request(15_000));
    assertThat(permit.canStartCall(), is(true));

    snapshot.set(snapshot(Labels.empty().with(Labels.STATE, Labels.STATE_OUT)));

    assertThat(permit.canStartCall(), is(false));
  }
}
