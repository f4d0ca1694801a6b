package org.cowslipstair.experiments.bench;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.cowslipstair.experiments.cost.SyntheticDeployment;
import org.cowslipstair.experiments.fleet.Deployment;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.ConfigSnapshot;
import org.cowslipstair.model.config.RoutingRule;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Group;
import org.openjdk.jmh.annotations.GroupThreads;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Routing and the check before sending, while another thread replaces the configuration. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class SnapshotBenchmark {
  private static final int READERS = 7;
  private static final BackendName BACKEND = new BackendName("backend-7");

  /** Number of backend servers. */
  @Param({"36", "490"})
  public int backends;

  private final AtomicReference<ConfigSnapshot> snapshot =
      new AtomicReference<>(ConfigSnapshot.empty());
  private final AtomicLong revision = new AtomicLong();
  private Deployment deployment = new Deployment("empty", List.of());

  /** Builds the configuration. */
  @Setup
  public void build() {
    int services = backends > 100 ? 13 : 3;
    deployment = new SyntheticDeployment(6, services, backends, 3).build();
    snapshot.set(ConfigSnapshot.of(0, deployment.objects()));
  }

  /** Routes a call and checks its backend server. */
  @Benchmark
  @Group("readersAndWriter")
  @GroupThreads(READERS)
  public boolean route() {
    ConfigSnapshot current = snapshot.get();
    Optional<RoutingRule> rule = current.route("service-2.example", "/page", "GET");
    return rule.isPresent() && current.acceptsNewCalls(BACKEND);
  }

  /** Replaces the configuration. */
  @Benchmark
  @Group("readersAndWriter")
  @GroupThreads(1)
  public long replace() {
    long next = revision.incrementAndGet();
    snapshot.set(ConfigSnapshot.of(next, deployment.objects()));
    return next;
  }
}
