package org.cowslipstair.logic.call;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import org.cowslipstair.logic.idempotency.FakeStore;
import org.cowslipstair.logic.idempotency.IdempotencyGuard;
import org.cowslipstair.logic.idempotency.IdempotencySettings;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.logic.stop.PlannedStop;
import org.cowslipstair.model.call.CallHeaders;
import org.cowslipstair.model.call.HeaderField;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.ConfigObject;
import org.cowslipstair.model.config.ConfigSnapshot;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.Labels;
import org.cowslipstair.model.config.PolicyKind;
import org.cowslipstair.model.config.RoutingRule;
import org.cowslipstair.model.config.RuleName;
import org.cowslipstair.model.config.Selector;
import org.cowslipstair.model.config.Service;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.config.Zone;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.port.BackendTransport;
import org.cowslipstair.port.BackendTransport.BackendRequestBody;

/**
 * Call service on fakes: one service with three backend servers, one ordinary routing rule and one
 * that lets each idempotency key run once.
 */
final class CallFixture implements AutoCloseable {
  static final long NS_PER_MS = 1_000_000L;
  static final long TIMEOUT_MS = 1_000;
  private static final ZoneName ZONE = new ZoneName("tz-north-a");
  private static final ServiceName SERVICE = new ServiceName("ledger");
  final AtomicLong nowNs = new AtomicLong(NS_PER_MS);
  final TestScheduler timer = new TestScheduler();
  final CountingScheduler hedgeTimer = new CountingScheduler(timer);
  final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
  final List<BackendServer> backends = new ArrayList<>();
  final FakeStore store = new FakeStore();
  final Queue<CallDecision> decisions = new ConcurrentLinkedQueue<>();
  final Queue<CallSummary> summaries = new ConcurrentLinkedQueue<>();
  final FakeAdmission admission;
  volatile ConfigSnapshot configuration;
  volatile Optional<NotRunReason> refusal = Optional.empty();
  volatile Optional<PlannedStop> plannedStop = Optional.empty();
  final CallService service;

  CallFixture(BackendTransport transport, long seed) {
    for (int i = 0; i < 3; i++) {
      HostPort address = new HostPort("127.0.0.1", 1 + i);
      backends.add(
          new BackendServer(new BackendName("ledger-" + i), Labels.empty(), ZONE, address, 3, 260));
    }
    admission = new FakeAdmission(backends);
    configuration = configuration(Labels.empty());
    IdempotencyGuard guard =
        new IdempotencyGuard(
            store,
            IdempotencySettings.defaults(),
            nowNs::get,
            InstantSource.system(),
            threads,
            () -> UUID.randomUUID().toString());
    CallPorts ports =
        new CallPorts(
            () -> configuration, _ -> admission, transport, guard, nowNs::get, hedgeTimer, threads);
    service =
        new CallService(
            CallSettings.defaults(),
            ports,
            new Random(seed),
            InvariantMonitor.failing(),
            new Hooks());
  }

  ConfigSnapshot configuration(Labels zoneLabels) {
    List<ConfigObject> objects = new ArrayList<>(backends);
    objects.add(new Zone(ZONE, zoneLabels));
    objects.add(
        new Service(
            SERVICE,
            Labels.empty(),
            Selector.everything(),
            Selector.everything(),
            PolicyKind.BROKER,
            TIMEOUT_MS,
            1,
            true));
    objects.add(rule("any", "/", Optional.empty(), false));
    objects.add(rule("payments", "/pay", Optional.empty(), true));
    return ConfigSnapshot.of(1, objects);
  }

  private static RoutingRule rule(
      String name, String prefix, Optional<Boolean> idempotent, boolean oncePerKey) {
    return new RoutingRule(
        new RuleName(name),
        Labels.empty(),
        0,
        Optional.empty(),
        prefix,
        Set.of(),
        SERVICE,
        idempotent,
        oncePerKey);
  }

  CallRequest request(String requestId, String method, String path, BackendRequestBody body) {
    return new CallRequest(
        requestId,
        method,
        "ledger.example",
        path,
        path,
        List.of(new HeaderField(CallHeaders.REQUEST_ID, requestId)),
        path.startsWith("/pay/") ? Optional.of(path) : Optional.empty(),
        body,
        Long.MAX_VALUE);
  }

  CallResult call(String requestId, String method) throws InterruptedException {
    return service.handle(request(requestId, method, "/", new BackendRequestBody.None()));
  }

  static String text(CallResult result) throws IOException {
    try (var response = ((CallResult.Answered) result).response()) {
      return new String(response.body().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  @Override
  public void close() {
    threads.shutdownNow();
    threads.close();
  }

  private final class Hooks implements CallHooks {
    @Override
    public Optional<NotRunReason> refusalReason() {
      return refusal;
    }

    @Override
    public Optional<PlannedStop> plannedStop() {
      return plannedStop;
    }

    @Override
    public void onDecision(String requestId, long atNs, CallDecision decision) {
      decisions.add(decision);
    }

    @Override
    public void onFinished(CallSummary summary) {
      summaries.add(summary);
    }
  }
}
