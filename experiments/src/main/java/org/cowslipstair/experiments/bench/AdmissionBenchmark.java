package org.cowslipstair.experiments.bench;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.cowslipstair.experiments.cost.SyntheticDeployment;
import org.cowslipstair.logic.admission.Admission;
import org.cowslipstair.logic.admission.Admission.AdmissionRequest;
import org.cowslipstair.logic.admission.NotAdmittedException;
import org.cowslipstair.logic.admission.Permit;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.logic.membership.FleetView;
import org.cowslipstair.model.config.ConfigSnapshot;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.model.fleet.MemberState;
import org.cowslipstair.model.pool.CallOutcome;
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.port.MonotonicClock;
import org.cowslipstair.runtime.ControlLoop;
import org.cowslipstair.runtime.lease.BrokerAdmission;
import org.cowslipstair.runtime.lease.LeaseRuntime;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.TearDown;

/** Slot, check before sending, and release, on a gateway that brokers its pools itself. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class AdmissionBenchmark {
  private static final CallReport ANSWERED = new CallReport(CallOutcome.ANSWERED, 20_000_000L);
  private static final long TIMEOUT_NS = 5_000_000_000L;
  private static final long TICK_MS = 5;
  private static final int SLOTS = 64;

  /** Number of backend servers. */
  @Param({"36", "490"})
  public int backends;

  private final MonotonicClock clock = MonotonicClock.system();
  private final AtomicReference<ConfigSnapshot> snapshot =
      new AtomicReference<>(ConfigSnapshot.empty());
  private ControlLoop loop = new ControlLoop("control-unused", clock);
  private Admission admission =
      _ -> {
        throw new IllegalStateException("not set up");
      };
  private final ServiceName service = new ServiceName("service-0");

  /** Starts a gateway that is alone. */
  @Setup(Level.Trial)
  public void start() throws InterruptedException {
    loop.close();
    loop = new ControlLoop("control-benchmark", clock);
    int services = backends > 100 ? 13 : 3;
    SyntheticDeployment sizes = new SyntheticDeployment(1, services, backends, SLOTS);
    snapshot.set(ConfigSnapshot.of(1, sizes.build().objects()));
    GatewayId self = new GatewayId(new GatewayName("gw"), 1);
    ZoneName zone = new ZoneName("zone-0");
    InvariantMonitor monitor = InvariantMonitor.failing();
    LeaseRuntime leases =
        new LeaseRuntime(
            self, zone, clock, loop, new Random(1), monitor, snapshot::get, (_, _) -> {}, _ -> {});
    Member member = new Member(self, zone, new HostPort("127.0.0.1", 1), MemberState.LIVE);
    loop.execute(() -> leases.onView(new FleetView(1, self, List.of(member), false)));
    loop.execute(() -> leases.onSnapshot(snapshot.get()));
    loop.schedulePeriodically(TICK_MS, leases::tick);
    admission = new BrokerAdmission(leases, zone, clock, snapshot::get, monitor);
    TimeUnit.SECONDS.sleep(1);
  }

  /** Stops the gateway. */
  @TearDown(Level.Trial)
  public void stop() {
    loop.close();
  }

  /** Takes a slot, checks it, and gives it back. */
  @Benchmark
  public boolean admitAndRelease() throws NotAdmittedException, InterruptedException {
    Permit permit =
        admission.admit(new AdmissionRequest(service, clock.nowNs() + TIMEOUT_NS, false, Set.of()));
    boolean mayStart = permit.canStartCall();
    permit.release(ANSWERED);
    return mayStart;
  }
}
