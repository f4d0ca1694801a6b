package org.cowslipstair.logic.call;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cowslipstair.logic.idempotency.FakeStore;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.config.Labels;
import org.cowslipstair.port.BackendTransport.BackendRequestBody;

final class AtMostOnceTest {
  private static final int CALLERS = 6;
  private static final int CALLS_PER_CALLER = 120;
  private static final int KEYS = 25;

  @Property(seed = "4501", tries = 25)
  void callsRunAtMostOnceAndRefusedCallsNeverRun(@ForAll long seed) throws Exception {
    UnreliableBackends backends = new UnreliableBackends(seed);
    try (CallFixture fixture = new CallFixture(backends, seed)) {
      backends.fixture = fixture;
      injectStoreFaults(fixture.store, seed);
      Tally tally = new Tally();
      List<Future<?>> callers = new ArrayList<>();
      for (int i = 0; i < CALLERS; i++) {
        Random random = new Random(seed + i);
        String caller = "caller-" + i;
        callers.add(
            fixture.threads.submit(() -> sendCalls(fixture, backends, caller, random, tally)));
      }
      for (Future<?> caller : callers) {
        caller.get();
      }
      for (int key = 0; key < KEYS; key++) {
        assertThat("runs of one key", backends.runsOf("/pay/" + key), lessThanOrEqualTo(1));
      }
      assertThat(tally.answered.get(), greaterThan(0));
      assertThat(tally.notRun.get(), greaterThan(0));
      assertThat(tally.mayHaveRun.get(), greaterThan(0));
    }
  }

  private static Void sendCalls(
      CallFixture fixture, UnreliableBackends backends, String caller, Random random, Tally tally)
      throws InterruptedException {
    for (int i = 0; i < CALLS_PER_CALLER; i++) {
      changeConditions(fixture, random);
      String id = caller + "-" + i;
      int kind = random.nextInt(3);
      String method = kind == 0 ? "GET" : "POST";
      String path = kind == 2 ? "/pay/" + random.nextInt(KEYS) : "/";
      CallRequest request =
          fixture.request(id, method, path, new BackendRequestBody.Buffered(new byte[3]));
      CallResult result = fixture.service.handle(request);
      checkResult(result, id, backends, tally);
      if (!method.equals("GET")) {
        assertThat("runs of " + id, backends.runsOf(id), lessThanOrEqualTo(1));
      }
    }
    return null;
  }

  private static void checkResult(
      CallResult result, String id, UnreliableBackends backends, Tally tally) {
    switch (result) {
      case CallResult.Answered _ -> {
        tally.answered.incrementAndGet();
        try {
          assertThat(CallFixture.text(result), is(UnreliableBackends.responseTo(id)));
        } catch (IOException ignored) {
          tally.truncated.incrementAndGet();
        }
      }
      case CallResult.NotRun(NotRunReason reason, long _) -> {
        tally.notRun.incrementAndGet();
        assertThat("runs of refused " + id + " " + reason, backends.runsOf(id), is(0));
      }
      case CallResult.MayHaveRun _ -> tally.mayHaveRun.incrementAndGet();
    }
  }

  private static void changeConditions(CallFixture fixture, Random random) {
    switch (random.nextInt(40)) {
      case 0 -> fixture.configuration = fixture.configuration(Labels.empty().with("state", "out"));
      case 1 -> fixture.refusal = Optional.of(NotRunReason.GATEWAY_STOPPING);
      case 2 -> fixture.admission.shouldRefuse = request -> request.excluded().size() == 1;
      case 3 -> fixture.admission.mayStart = name -> !name.value().endsWith("1");
      case 4, 5, 6, 7, 8 -> {
        fixture.configuration = fixture.configuration(Labels.empty());
        fixture.refusal = Optional.empty();
        fixture.admission.shouldRefuse = _ -> false;
        fixture.admission.mayStart = _ -> true;
      }
      default -> {}
    }
  }

  private static void injectStoreFaults(FakeStore store, long seed) {
    AtomicInteger calls = new AtomicInteger();
    store.faults =
        () -> {
          int number = calls.incrementAndGet();
          FakeStore.Fault[] faults = FakeStore.Fault.values();
          Random random = new Random(seed + number);
          return random.nextInt(3) == 0 ? faults[random.nextInt(faults.length)] : faults[0];
        };
  }

  private static final class Tally {
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger truncated = new AtomicInteger();
    private final AtomicInteger notRun = new AtomicInteger();
    private final AtomicInteger mayHaveRun = new AtomicInteger();
  }
}
