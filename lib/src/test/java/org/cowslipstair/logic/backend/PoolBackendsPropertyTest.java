package org.cowslipstair.logic.backend;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.pool.BackendState;
import org.cowslipstair.model.pool.CallEnd;
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.port.BackendProbe.Health;
import org.cowslipstair.port.BackendProbe.ProbeReport;

final class PoolBackendsPropertyTest {
  private static final int STEPS = 600;
  private static final int SLOTS = 4;
  private static final BackendTrackerSettings SETTINGS = Backends.shortRuns(4);

  @Property(seed = "4201", tries = 300)
  void limitsFallAtOnceAndRiseByOneStepPerRunOfSuccesses(@ForAll long seed) {
    Run run = new Run(new Random(seed));
    for (int i = 0; i < STEPS; i++) {
      run.step();
    }
  }

  @Property(seed = "4202", tries = 200)
  void twoTrackersAtOnceKeepTheProbeBudget(
      @ForAll long seed, @ForAll @DoubleRange(min = 0.2, max = 20) double probesPerSecond) {
    Random random = new Random(seed);
    BackendTrackerSettings settings = SETTINGS.withProbesPerSecond(probesPerSecond);
    List<PoolBackends> trackers = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      trackers.add(Backends.pool(settings, seed + i));
      trackers.get(i).configure(Backends.servers(1, SLOTS), Backends.names(1), 0);
    }
    List<Long> probesNs = new ArrayList<>();
    long nowNs = 0;
    for (int i = 0; i < 4 * STEPS; i++) {
      nowNs += random.nextLong(200 * Backends.NS_PER_MS);
      PoolBackends tracker = trackers.get(random.nextInt(2));
      if (random.nextInt(200) == 0) {
        tracker.forgetAll(nowNs);
      }
      for (BackendName _ : tracker.tick(nowNs)) {
        probesNs.add(nowNs);
      }
    }
    long windowNs = (long) (2e9 / probesPerSecond);
    for (int i = 0; i + 2 < probesNs.size(); i++) {
      long spreadNs = probesNs.get(i + 2) - probesNs.get(i);
      assertThat("three probes in one window", spreadNs, greaterThanOrEqualTo(windowNs - 1));
    }
    assertThat(probesNs.size(), greaterThanOrEqualTo(10));
  }

  /** One random history of a pool, with what must hold after each step. */
  private static final class Run {
    private final Random random;
    private final PoolBackends pool;
    private final List<BackendServer> servers = Backends.servers(3, SLOTS);
    private final Set<BackendName> taking = new HashSet<>(Backends.names(3));
    private final Map<BackendName, List<Long>> running = new HashMap<>();
    private final Map<Long, Long> startedAtNs = new HashMap<>();
    private final Map<BackendName, Integer> successes = new HashMap<>();
    private final Map<BackendName, Long> loweredAtNs = new HashMap<>();
    private long nowNs;
    private long lease;

    Run(Random random) {
      this.random = random;
      this.pool = Backends.pool(SETTINGS, random.nextLong());
      pool.configure(servers, taking, nowNs);
    }

    void step() {
      nowNs += 1 + random.nextLong(20 * Backends.NS_PER_MS);
      BackendName name = servers.get(random.nextInt(servers.size())).name();
      int before = pool.limit(name);
      switch (random.nextInt(24)) {
        case 0 -> reconfigure(name);
        case 1 -> probe(name, before);
        case 2, 3, 4 -> pool.tick(nowNs);
        case 5 -> {
          if (random.nextInt(20) == 0) {
            pool.forgetAll(nowNs);
          }
        }
        default -> startOrEnd(name, before);
      }
      check(name, before);
    }

    private void reconfigure(BackendName name) {
      boolean wasTaking = !taking.add(name);
      if (wasTaking) {
        taking.remove(name);
      }
      pool.configure(servers, taking, nowNs);
      assertThat(pool.limit(name), is(wasTaking ? 0 : 1));
    }

    private void probe(BackendName name, int before) {
      Health health = Health.values()[random.nextInt(Health.values().length)];
      ProbeReport report = new ProbeReport(health, random.nextInt(9), random.nextInt(9), 0);
      pool.probed(name, random.nextInt(5) == 0 ? Optional.empty() : Optional.of(report), nowNs);
      assertThat("a report raised a limit", pool.limit(name), lessThanOrEqualTo(before));
    }

    private void startOrEnd(BackendName name, int before) {
      List<Long> leases = running.computeIfAbsent(name, _ -> new ArrayList<>());
      if (leases.size() < before && random.nextInt(3) > 0) {
        lease++;
        leases.add(lease);
        startedAtNs.put(lease, nowNs);
        pool.started(name, lease, nowNs);
        return;
      }
      if (leases.isEmpty()) {
        return;
      }
      long ended = leases.remove(random.nextInt(leases.size()));
      CallEnd how = randomEnd();
      long serviceTimeNs = 1 + random.nextLong(10 * Backends.NS_PER_MS);
      pool.ended(name, ended, new CallReport(how, serviceTimeNs), nowNs);
      if (how == CallEnd.ANSWERED) {
        successes.merge(name, 1, Integer::sum);
      }
      boolean recent = startedAtNs.get(ended) > loweredAtNs.getOrDefault(name, -1L);
      if (recent && (how == CallEnd.SHED || how == CallEnd.FAILED)) {
        assertThat("limit after " + how, pool.limit(name), lessThanOrEqualTo(1));
      }
    }

    private CallEnd randomEnd() {
      if (random.nextInt(10) > 0) {
        return CallEnd.ANSWERED;
      }
      return CallEnd.values()[random.nextInt(CallEnd.values().length)];
    }

    private void check(BackendName name, int before) {
      int after = pool.limit(name);
      if (after > before && before > 0) {
        assertThat("step", after, is(before + 1));
        int needed = SETTINGS.successesPerStep();
        assertThat(successes.getOrDefault(name, 0), greaterThanOrEqualTo(needed));
      }
      if (after < before) {
        loweredAtNs.put(name, nowNs);
      }
      if (after != before) {
        successes.put(name, 0);
      }
      for (BackendServer server : servers) {
        int limit = pool.limit(server.name());
        assertThat(limit, greaterThanOrEqualTo(0));
        assertThat(limit, lessThanOrEqualTo(SLOTS));
        boolean leaving = pool.state(server.name()) instanceof BackendState.Leaving;
        assertThat(leaving, is(!taking.contains(server.name())));
        assertThat("limit while leaving", leaving && limit > 0, is(false));
      }
    }
  }
}
