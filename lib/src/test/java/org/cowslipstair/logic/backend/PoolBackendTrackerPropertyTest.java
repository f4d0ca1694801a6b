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
import org.cowslipstair.model.pool.CallOutcome;
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.port.BackendProbe.Health;
import org.cowslipstair.port.BackendProbe.ProbeReport;

final class PoolBackendTrackerPropertyTest {
  private static final int STEPS = 600;
  private static final int SLOTS = 4;
  private static final BackendTrackerSettings SETTINGS = BackendFixtures.settings(4);

  @Property(seed = "4201", tries = 300)
  void limitsDropImmediatelyAndRiseByOnePerStepOfSuccesses(@ForAll long seed) {
    RandomRun run = new RandomRun(new Random(seed));
    for (int i = 0; i < STEPS; i++) {
      run.step();
    }
  }

  @Property(seed = "4202", tries = 200)
  void twoConcurrentTrackersKeepTheProbeBudget(
      @ForAll long seed, @ForAll @DoubleRange(min = 0.2, max = 20) double probesPerSecond) {
    Random random = new Random(seed);
    BackendTrackerSettings settings = SETTINGS.withProbesPerSecond(probesPerSecond);
    List<PoolBackendTracker> trackers = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      trackers.add(BackendFixtures.pool(settings, seed + i));
      trackers.get(i).configure(BackendFixtures.servers(1, SLOTS), BackendFixtures.names(1), 0);
    }
    List<Long> probedAtNs = new ArrayList<>();
    long nowNs = 0;
    for (int i = 0; i < 4 * STEPS; i++) {
      nowNs += random.nextLong(200 * BackendFixtures.NS_PER_MS);
      PoolBackendTracker tracker = trackers.get(random.nextInt(2));
      if (random.nextInt(200) == 0) {
        tracker.resetAll(nowNs);
      }
      for (BackendName _ : tracker.tick(nowNs)) {
        probedAtNs.add(nowNs);
      }
    }
    long windowNs = (long) (2e9 / probesPerSecond);
    for (int i = 0; i + 2 < probedAtNs.size(); i++) {
      long spreadNs = probedAtNs.get(i + 2) - probedAtNs.get(i);
      assertThat("three probes in one window", spreadNs, greaterThanOrEqualTo(windowNs - 1));
    }
    assertThat(probedAtNs.size(), greaterThanOrEqualTo(10));
  }

  /** One random sequence of steps on a pool; checks the rules of limits after each step. */
  private static final class RandomRun {
    private final Random random;
    private final PoolBackendTracker pool;
    private final List<BackendServer> servers = BackendFixtures.servers(3, SLOTS);
    private final Set<BackendName> acceptingNewCalls = new HashSet<>(BackendFixtures.names(3));
    private final Map<BackendName, List<Long>> runningCalls = new HashMap<>();
    private final Map<Long, Long> startedAtNs = new HashMap<>();
    private final Map<BackendName, Integer> successes = new HashMap<>();
    private final Map<BackendName, Long> loweredAtNs = new HashMap<>();
    private long nowNs;
    private long lastCallNumber;

    RandomRun(Random random) {
      this.random = random;
      this.pool = BackendFixtures.pool(SETTINGS, random.nextLong());
      pool.configure(servers, acceptingNewCalls, nowNs);
    }

    void step() {
      nowNs += 1 + random.nextLong(20 * BackendFixtures.NS_PER_MS);
      BackendName name = servers.get(random.nextInt(servers.size())).name();
      int limitBefore = pool.limit(name);
      switch (random.nextInt(24)) {
        case 0 -> reconfigure(name);
        case 1 -> probe(name, limitBefore);
        case 2, 3, 4 -> pool.tick(nowNs);
        case 5 -> {
          if (random.nextInt(20) == 0) {
            pool.resetAll(nowNs);
          }
        }
        default -> startOrEnd(name, limitBefore);
      }
      checkLimits(name, limitBefore);
    }

    private void reconfigure(BackendName name) {
      boolean wasAccepting = !acceptingNewCalls.add(name);
      if (wasAccepting) {
        acceptingNewCalls.remove(name);
      }
      pool.configure(servers, acceptingNewCalls, nowNs);
      assertThat(pool.limit(name), is(wasAccepting ? 0 : 1));
    }

    private void probe(BackendName name, int limitBefore) {
      Health health = Health.values()[random.nextInt(Health.values().length)];
      ProbeReport report = new ProbeReport(health, random.nextInt(9), random.nextInt(9), 0);
      pool.recordProbe(
          name, random.nextInt(5) == 0 ? Optional.empty() : Optional.of(report), nowNs);
      assertThat("a report raised a limit", pool.limit(name), lessThanOrEqualTo(limitBefore));
    }

    private void startOrEnd(BackendName name, int limitBefore) {
      List<Long> callNumbers = runningCalls.computeIfAbsent(name, _ -> new ArrayList<>());
      if (callNumbers.size() < limitBefore && random.nextInt(3) > 0) {
        lastCallNumber++;
        callNumbers.add(lastCallNumber);
        startedAtNs.put(lastCallNumber, nowNs);
        pool.callStarted(name, lastCallNumber, nowNs);
        return;
      }
      if (callNumbers.isEmpty()) {
        return;
      }
      long callNumber = callNumbers.remove(random.nextInt(callNumbers.size()));
      CallOutcome end = randomEnd();
      long serviceTimeNs = 1 + random.nextLong(10 * BackendFixtures.NS_PER_MS);
      pool.callEnded(name, callNumber, new CallReport(end, serviceTimeNs), nowNs);
      if (end == CallOutcome.ANSWERED) {
        successes.merge(name, 1, Integer::sum);
      }
      boolean startedAfterDrop = startedAtNs.get(callNumber) > loweredAtNs.getOrDefault(name, -1L);
      if (startedAfterDrop && (end == CallOutcome.SHED || end == CallOutcome.FAILED)) {
        assertThat("limit after " + end, pool.limit(name), lessThanOrEqualTo(1));
      }
    }

    private CallOutcome randomEnd() {
      if (random.nextInt(10) > 0) {
        return CallOutcome.ANSWERED;
      }
      return CallOutcome.values()[random.nextInt(CallOutcome.values().length)];
    }

    private void checkLimits(BackendName name, int limitBefore) {
      int limitAfter = pool.limit(name);
      if (limitAfter > limitBefore && limitBefore > 0) {
        assertThat("step", limitAfter, is(limitBefore + 1));
        int successesNeeded = SETTINGS.successesPerStep();
        assertThat(successes.getOrDefault(name, 0), greaterThanOrEqualTo(successesNeeded));
      }
      if (limitAfter < limitBefore) {
        loweredAtNs.put(name, nowNs);
      }
      if (limitAfter != limitBefore) {
        successes.put(name, 0);
      }
      for (BackendServer server : servers) {
        int limit = pool.limit(server.name());
        assertThat(limit, greaterThanOrEqualTo(0));
        assertThat(limit, lessThanOrEqualTo(SLOTS));
        boolean leaving = pool.state(server.name()) instanceof BackendState.Leaving;
        assertThat(leaving, is(!acceptingNewCalls.contains(server.name())));
        assertThat("limit while leaving", leaving && limit > 0, is(false));
      }
    }
  }
}
