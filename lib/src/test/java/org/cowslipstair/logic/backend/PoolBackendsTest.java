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
import org.cowslipstair.model.pool.CallEnd;
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.port.BackendProbe.Health;
import org.cowslipstair.port.BackendProbe.ProbeReport;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class PoolBackendsTest {
  private static final int COUNT = 5;
  private static final int SLOTS = 3;
  private static final int RUN = 8;
  private static final long MS = Backends.NS_PER_MS;
  private static final BackendName FIRST = Backends.name(0);
  private final PoolBackends pool = Backends.pool(Backends.shortRuns(RUN), 7);
  private long nowNs;
  private long serviceMs = 10;
  private long lease;

  @BeforeEach
  void configure() {
    pool.configure(Backends.servers(COUNT, SLOTS), Backends.names(COUNT), nowNs);
  }

  @Test
  void rampsFromOneCallToAllSlots() {
    assertThat(pool.limit(FIRST), is(1));
    answer(FIRST, RUN);
    assertThat(pool.limit(FIRST), is(2));
    answer(FIRST, RUN);
    assertThat(pool.limit(FIRST), is(SLOTS));
    assertThat(pool.state(FIRST), instanceOf(BackendState.Warm.class));
  }

  @Test
  void backendThatHangsAloneFallsBeforeItsCallsEnd() {
    warmAll();
    start(FIRST);
    for (int i = 0; i < 30; i++) {
      answer(Backends.name(1 + i % 4), 1);
      pool.tick(nowNs);
    }
    assertThat(pool.limit(FIRST), is(1));
    assertThat(pool.limit(Backends.name(1)), is(SLOTS));
  }

  @Test
  void backendWhoseCallsAllLoseToHedgesFalls() {
    warmAll();
    for (int i = 0; i < 5; i++) {
      long started = start(FIRST);
      answer(Backends.name(1 + i % 4), 2);
      end(FIRST, started, CallEnd.CANCELLED, 20 * MS);
      pool.tick(nowNs);
    }
    assertThat(pool.limit(FIRST), is(1));
  }

  @Test
  void poolThatIsSlowTogetherKeepsItsLimits() {
    warmAll();
    for (int i = 0; i < COUNT; i++) {
      start(Backends.name(i));
    }
    nowNs += 300 * MS;
    pool.tick(nowNs);
    for (int i = 0; i < COUNT; i++) {
      assertThat(pool.limit(Backends.name(i)), is(SLOTS));
    }
  }

  @Test
  void sheddingStopsCallsAndOneIsTriedAfterTheBackoff() {
    warmAll();
    end(FIRST, start(FIRST), CallEnd.SHED, MS);
    assertThat(pool.limit(FIRST), is(0));
    pool.tick(nowNs + 49 * MS);
    assertThat(pool.limit(FIRST), is(0));
    pool.tick(nowNs + 101 * MS);
    assertThat(pool.limit(FIRST), is(1));
  }

  @Test
  void failuresInRowMakeSuspectWithOneCanaryAtATime() {
    warmAll();
    end(FIRST, start(FIRST), CallEnd.FAILED, MS);
    assertThat(pool.limit(FIRST), is(1));
    for (int failure = 2; failure < 6; failure++) {
      end(FIRST, start(FIRST), CallEnd.FAILED, MS);
      assertThat(pool.state(FIRST), instanceOf(BackendState.Suspect.class));
      assertThat(pool.limit(FIRST), is(0));
      nowNs += 100 * MS << failure;
      pool.tick(nowNs);
      assertThat(pool.limit(FIRST), is(1));
    }
    answer(FIRST, 1);
    assertThat(pool.state(FIRST), is(new BackendState.Cold(1)));
    assertThat(pool.limit(FIRST), is(1));
  }

  @Test
  void callsThatFailTogetherCountOnce() {
    warmAll();
    long[] leases = {start(FIRST), start(FIRST), start(FIRST)};
    nowNs += MS;
    for (long each : leases) {
      end(FIRST, each, CallEnd.FAILED, MS);
    }
    assertThat(pool.state(FIRST), is(new BackendState.Cold(0)));
  }

  @Test
  void healthLowersAndNeverRaises() {
    warmAll();
    pool.probed(FIRST, report(Health.WARM, 2), nowNs);
    assertThat(pool.limit(FIRST), is(2));
    pool.probed(FIRST, report(Health.WARM, 99), nowNs);
    assertThat(pool.limit(FIRST), is(2));
    pool.probed(FIRST, report(Health.COLD, SLOTS), nowNs);
    assertThat(pool.limit(FIRST), is(1));
    pool.probed(FIRST, report(Health.SHEDDING, SLOTS), nowNs);
    pool.probed(FIRST, report(Health.COLD, SLOTS), nowNs);
    assertThat(pool.limit(FIRST), is(0));
  }

  @Test
  void healthIsAskedBeforeTheSecondCallAndMayHoldItBack() {
    nowNs += 2_000 * MS;
    answer(FIRST, RUN / 2);
    assertThat(pool.tick(nowNs).contains(FIRST), is(true));
    pool.probed(FIRST, report(Health.COLD, SLOTS), nowNs);
    answer(FIRST, RUN - 1);
    assertThat(pool.limit(FIRST), is(1));
    answer(FIRST, 1);
    assertThat(pool.limit(FIRST), is(2));
  }

  @Test
  void callThatTakesLongWhileOthersAreAnsweredIsNoSign() {
    serviceMs = 20;
    warmAll();
    long longCall = start(FIRST);
    for (int i = 0; i < 40; i++) {
      answer(FIRST, 1);
      nowNs += 60 * MS;
      pool.tick(nowNs);
    }
    answer(FIRST, 1);
    end(FIRST, longCall, CallEnd.ANSWERED, 3_220 * MS);
    pool.tick(nowNs);
    assertThat(pool.limit(FIRST), is(SLOTS));
  }

  @Test
  void returnFromZoneOutageIsCold() {
    warmAll();
    pool.configure(Backends.servers(COUNT, SLOTS), Set.of(), nowNs);
    assertThat(pool.limit(FIRST), is(0));
    pool.configure(Backends.servers(COUNT, SLOTS), Backends.names(COUNT), nowNs);
    assertThat(pool.state(FIRST), is(new BackendState.Cold(0)));
    assertThat(pool.limit(FIRST), is(1));
  }

  @Test
  void backendWithAnotherAddressIsCold() {
    warmAll();
    List<BackendServer> servers = new ArrayList<>(Backends.servers(COUNT, SLOTS));
    BackendServer old = servers.getFirst();
    HostPort moved = new HostPort("127.0.0.2", 1);
    servers.set(
        0, new BackendServer(FIRST, old.labels(), old.zone(), moved, SLOTS, old.maxConnections()));
    pool.configure(servers, Backends.names(COUNT), nowNs);
    assertThat(pool.limit(FIRST), is(1));
    assertThat(pool.limit(Backends.name(1)), is(SLOTS));
  }

  @Test
  void plannedHandOverKeepsLimitsAndLearntTroubleWins() {
    warmAll();
    PoolBackends successor = Backends.pool(BackendTrackerSettings.defaults(), 8);
    successor.configure(Backends.servers(COUNT, SLOTS), Backends.names(COUNT), nowNs);
    successor.started(FIRST, 1, nowNs);
    successor.ended(FIRST, 1, new CallReport(CallEnd.SHED, MS), nowNs);
    successor.adopt(pool.handOver(), nowNs);
    assertThat(successor.limit(FIRST), is(0));
    assertThat(successor.limit(Backends.name(1)), is(SLOTS));
  }

  @Test
  void onlySilentBackendsAreProbedAndLongSilenceMeansCold() {
    warmAll();
    nowNs += 2_000 * MS;
    answer(FIRST, 1);
    List<BackendName> probed = pool.tick(nowNs);
    assertThat(probed, is(List.of(1, 2, 3, 4).stream().map(Backends::name).toList()));
    assertThat(pool.tick(nowNs), is(empty()));
    pool.tick(nowNs + 31_000 * MS);
    assertThat(pool.limit(FIRST), is(1));
  }

  @Test
  void tightDeadlineOfTheCallerIsNoFault() {
    warmAll();
    end(FIRST, start(FIRST), CallEnd.TIMED_OUT, MS);
    assertThat(pool.limit(FIRST), is(SLOTS));
    end(FIRST, start(FIRST), CallEnd.TIMED_OUT, 400 * MS);
    assertThat(pool.limit(FIRST), lessThanOrEqualTo(1));
  }

  private static Optional<ProbeReport> report(Health health, int slots) {
    return Optional.of(new ProbeReport(health, 0, slots, 0));
  }

  private void warmAll() {
    for (int i = 0; i < COUNT; i++) {
      answer(Backends.name(i), 2 * RUN);
      assertThat(pool.limit(Backends.name(i)), is(SLOTS));
    }
  }

  private void answer(BackendName name, int times) {
    for (int i = 0; i < times; i++) {
      long started = start(name);
      nowNs += serviceMs * MS;
      end(name, started, CallEnd.ANSWERED, serviceMs * MS);
    }
  }

  private long start(BackendName name) {
    lease++;
    pool.started(name, lease, nowNs);
    return lease;
  }

  private void end(BackendName name, long ended, CallEnd how, long serviceTimeNs) {
    nowNs++;
    pool.ended(name, ended, new CallReport(how, serviceTimeNs), nowNs);
  }
}
