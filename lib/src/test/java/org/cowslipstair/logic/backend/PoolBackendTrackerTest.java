package org.cowslipstair.logic.backend;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.pool.BackendState;
import org.cowslipstair.model.pool.CallOutcome;
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.port.BackendProbe.Health;
import org.cowslipstair.port.BackendProbe.ProbeReport;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class PoolBackendTrackerTest {
  private static final int BACKEND_COUNT = 5;
  private static final int SLOTS = 3;
  private static final int SUCCESSES_PER_STEP = 8;
  private static final long NS_PER_MS = BackendFixtures.NS_PER_MS;
  private static final BackendName FIRST_BACKEND = BackendFixtures.name(0);
  private final PoolBackendTracker pool =
      BackendFixtures.pool(BackendFixtures.settings(SUCCESSES_PER_STEP), 7);
  private long nowNs;
  private long serviceTimeMs = 10;
  private long lastCallNumber;

  @BeforeEach
  void configure() {
    pool.configure(
        BackendFixtures.servers(BACKEND_COUNT, SLOTS), BackendFixtures.names(BACKEND_COUNT), nowNs);
  }

  @Test
  void limitRisesFromOneCallToAllSlots() {
    assertThat(pool.limit(FIRST_BACKEND), is(1));
    completeCalls(FIRST_BACKEND, SUCCESSES_PER_STEP);
    assertThat(pool.limit(FIRST_BACKEND), is(2));
    completeCalls(FIRST_BACKEND, SUCCESSES_PER_STEP);
    assertThat(pool.limit(FIRST_BACKEND), is(SLOTS));
    assertThat(pool.state(FIRST_BACKEND), instanceOf(BackendState.Warm.class));
  }

  @Test
  void singleHungBackendIsLimitedBeforeItsCallsEnd() {
    warmAllBackends();
    startCall(FIRST_BACKEND);
    for (int i = 0; i < 30; i++) {
      completeCalls(BackendFixtures.name(1 + i % 4), 1);
      pool.tick(nowNs);
    }
    assertThat(pool.limit(FIRST_BACKEND), is(1));
    assertThat(pool.limit(BackendFixtures.name(1)), is(SLOTS));
  }

  @Test
  void backendThatLosesEveryCallToHedgesIsLimited() {
    warmAllBackends();
    for (int i = 0; i < 5; i++) {
      long callNumber = startCall(FIRST_BACKEND);
      completeCalls(BackendFixtures.name(1 + i % 4), 2);
      endCall(FIRST_BACKEND, callNumber, CallOutcome.CANCELLED, 20 * NS_PER_MS);
      pool.tick(nowNs);
    }
    assertThat(pool.limit(FIRST_BACKEND), is(1));
  }

  @Test
  void limitsAreKeptWhenAllBackendsAreSlow() {
    warmAllBackends();
    for (int i = 0; i < BACKEND_COUNT; i++) {
      startCall(BackendFixtures.name(i));
    }
    nowNs += 300 * NS_PER_MS;
    pool.tick(nowNs);
    for (int i = 0; i < BACKEND_COUNT; i++) {
      assertThat(pool.limit(BackendFixtures.name(i)), is(SLOTS));
    }
  }

  @Test
  void sheddingStopsCallsUntilTheBackoffAllowsOne() {
    warmAllBackends();
    endCall(FIRST_BACKEND, startCall(FIRST_BACKEND), CallOutcome.SHED, NS_PER_MS);
    assertThat(pool.limit(FIRST_BACKEND), is(0));
    pool.tick(nowNs + 49 * NS_PER_MS);
    assertThat(pool.limit(FIRST_BACKEND), is(0));
    pool.tick(nowNs + 101 * NS_PER_MS);
    assertThat(pool.limit(FIRST_BACKEND), is(1));
  }

  @Test
  void consecutiveFailuresMakeSuspectWithOneCallAfterEachBackoff() {
    warmAllBackends();
    endCall(FIRST_BACKEND, startCall(FIRST_BACKEND), CallOutcome.FAILED, NS_PER_MS);
    assertThat(pool.limit(FIRST_BACKEND), is(1));
    for (int failure = 2; failure < 6; failure++) {
      endCall(FIRST_BACKEND, startCall(FIRST_BACKEND), CallOutcome.FAILED, NS_PER_MS);
      assertThat(pool.state(FIRST_BACKEND), instanceOf(BackendState.Suspect.class));
      assertThat(pool.limit(FIRST_BACKEND), is(0));
      nowNs += 100 * NS_PER_MS << failure;
      pool.tick(nowNs);
      assertThat(pool.limit(FIRST_BACKEND), is(1));
    }
    completeCalls(FIRST_BACKEND, 1);
    assertThat(pool.state(FIRST_BACKEND), is(new BackendState.Cold(1)));
    assertThat(pool.limit(FIRST_BACKEND), is(1));
  }

  @Test
  void concurrentFailuresCountOnce() {
    warmAllBackends();
    long[] callNumbers = {
      startCall(FIRST_BACKEND), startCall(FIRST_BACKEND), startCall(FIRST_BACKEND)
    };
    nowNs += NS_PER_MS;
    for (long callNumber : callNumbers) {
      endCall(FIRST_BACKEND, callNumber, CallOutcome.FAILED, NS_PER_MS);
    }
    assertThat(pool.state(FIRST_BACKEND), is(new BackendState.Cold(0)));
  }

  @Test
  void reportedHealthLowersLimitsAndNeverRaisesThem() {
    warmAllBackends();
    pool.recordProbe(FIRST_BACKEND, report(Health.WARM, 2), nowNs);
    assertThat(pool.limit(FIRST_BACKEND), is(2));
    pool.recordProbe(FIRST_BACKEND, report(Health.WARM, 99), nowNs);
    assertThat(pool.limit(FIRST_BACKEND), is(2));
    pool.recordProbe(FIRST_BACKEND, report(Health.COLD, SLOTS), nowNs);
    assertThat(pool.limit(FIRST_BACKEND), is(1));
    pool.recordProbe(FIRST_BACKEND, report(Health.SHEDDING, SLOTS), nowNs);
    pool.recordProbe(FIRST_BACKEND, report(Health.COLD, SLOTS), nowNs);
    assertThat(pool.limit(FIRST_BACKEND), is(0));
  }

  @Test
  void backendIsProbedBeforeItsSecondConcurrentCallAndAColdReportDelaysIt() {
    nowNs += 2_000 * NS_PER_MS;
    completeCalls(FIRST_BACKEND, SUCCESSES_PER_STEP / 2);
    assertThat(pool.tick(nowNs).contains(FIRST_BACKEND), is(true));
    pool.recordProbe(FIRST_BACKEND, report(Health.COLD, SLOTS), nowNs);
    completeCalls(FIRST_BACKEND, SUCCESSES_PER_STEP - 1);
    assertThat(pool.limit(FIRST_BACKEND), is(1));
    completeCalls(FIRST_BACKEND, 1);
    assertThat(pool.limit(FIRST_BACKEND), is(2));
  }

  @Test
  void longCallAmongNormalResponsesKeepsTheLimit() {
    serviceTimeMs = 20;
    warmAllBackends();
    long longCall = startCall(FIRST_BACKEND);
    for (int i = 0; i < 40; i++) {
      completeCalls(FIRST_BACKEND, 1);
      nowNs += 60 * NS_PER_MS;
      pool.tick(nowNs);
    }
    completeCalls(FIRST_BACKEND, 1);
    endCall(FIRST_BACKEND, longCall, CallOutcome.ANSWERED, 3_220 * NS_PER_MS);
    pool.tick(nowNs);
    assertThat(pool.limit(FIRST_BACKEND), is(SLOTS));
  }

  @Test
  void backendIsColdAfterAZoneOutage() {
    warmAllBackends();
    pool.configure(BackendFixtures.servers(BACKEND_COUNT, SLOTS), Set.of(), nowNs);
    assertThat(pool.limit(FIRST_BACKEND), is(0));
    pool.configure(
        BackendFixtures.servers(BACKEND_COUNT, SLOTS), BackendFixtures.names(BACKEND_COUNT), nowNs);
    assertThat(pool.state(FIRST_BACKEND), is(new BackendState.Cold(0)));
    assertThat(pool.limit(FIRST_BACKEND), is(1));
  }

  @Test
  void backendWithANewAddressIsCold() {
    warmAllBackends();
    List<BackendServer> servers = new ArrayList<>(BackendFixtures.servers(BACKEND_COUNT, SLOTS));
    BackendServer original = servers.getFirst();
    HostPort newAddress = new HostPort("127.0.0.2", 1);
    servers.set(
        0,
        new BackendServer(
            FIRST_BACKEND,
            original.labels(),
            original.zone(),
            newAddress,
            SLOTS,
            original.maxConnections()));
    pool.configure(servers, BackendFixtures.names(BACKEND_COUNT), nowNs);
    assertThat(pool.limit(FIRST_BACKEND), is(1));
    assertThat(pool.limit(BackendFixtures.name(1)), is(SLOTS));
  }

  @Test
  void handOverKeepsLimitsExceptWhereOwnResultsAreWorse() {
    warmAllBackends();
    PoolBackendTracker successor = BackendFixtures.pool(BackendTrackerSettings.defaults(), 8);
    successor.configure(
        BackendFixtures.servers(BACKEND_COUNT, SLOTS), BackendFixtures.names(BACKEND_COUNT), nowNs);
    successor.callStarted(FIRST_BACKEND, 1, nowNs);
    successor.callEnded(FIRST_BACKEND, 1, new CallReport(CallOutcome.SHED, NS_PER_MS), nowNs);
    successor.adopt(pool.handOver(), nowNs);
    assertThat(successor.limit(FIRST_BACKEND), is(0));
    assertThat(successor.limit(BackendFixtures.name(1)), is(SLOTS));
  }

  @Test
  void backendsWithoutResultsAreProbedAndLaterCold() {
    warmAllBackends();
    nowNs += 2_000 * NS_PER_MS;
    completeCalls(FIRST_BACKEND, 1);
    List<BackendName> probed = pool.tick(nowNs);
    assertThat(probed, is(List.of(1, 2, 3, 4).stream().map(BackendFixtures::name).toList()));
    assertThat(pool.tick(nowNs), is(empty()));
    pool.tick(nowNs + 31_000 * NS_PER_MS);
    assertThat(pool.limit(FIRST_BACKEND), is(1));
  }

  @Test
  void timeoutUnderATightDeadlineKeepsTheLimit() {
    warmAllBackends();
    endCall(FIRST_BACKEND, startCall(FIRST_BACKEND), CallOutcome.TIMED_OUT, NS_PER_MS);
    assertThat(pool.limit(FIRST_BACKEND), is(SLOTS));
    endCall(FIRST_BACKEND, startCall(FIRST_BACKEND), CallOutcome.TIMED_OUT, 400 * NS_PER_MS);
    assertThat(pool.limit(FIRST_BACKEND), lessThanOrEqualTo(1));
  }

  private static Optional<ProbeReport> report(Health health, int slots) {
    return Optional.of(new ProbeReport(health, 0, slots, 0));
  }

  private void warmAllBackends() {
    for (int i = 0; i < BACKEND_COUNT; i++) {
      completeCalls(BackendFixtures.name(i), 2 * SUCCESSES_PER_STEP);
      assertThat(pool.limit(BackendFixtures.name(i)), is(SLOTS));
    }
  }

  private void completeCalls(BackendName name, int times) {
    for (int i = 0; i < times; i++) {
      long callNumber = startCall(name);
      nowNs += serviceTimeMs * NS_PER_MS;
      endCall(name, callNumber, CallOutcome.ANSWERED, serviceTimeMs * NS_PER_MS);
    }
  }

  private long startCall(BackendName name) {
    lastCallNumber++;
    pool.callStarted(name, lastCallNumber, nowNs);
    return lastCallNumber;
  }

  private void endCall(BackendName name, long callNumber, CallOutcome end, long serviceTimeNs) {
    nowNs++;
    pool.callEnded(name, callNumber, new CallReport(end, serviceTimeNs), nowNs);
  }
}
