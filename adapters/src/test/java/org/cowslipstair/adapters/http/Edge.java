package org.cowslipstair.adapters.http;

import io.reactivex.rxjava3.schedulers.Schedulers;
import java.lang.reflect.Proxy;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.cowslipstair.logic.admission.Permit;
import org.cowslipstair.logic.call.CallDecision;
import org.cowslipstair.logic.call.CallHandler;
import org.cowslipstair.logic.call.CallHooks;
import org.cowslipstair.logic.call.CallPorts;
import org.cowslipstair.logic.call.CallService;
import org.cowslipstair.logic.call.CallSettings;
import org.cowslipstair.logic.call.CallSummary;
import org.cowslipstair.logic.idempotency.IdempotencyGuard;
import org.cowslipstair.logic.idempotency.IdempotencySettings;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.logic.stop.PlannedStop;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.config.BackendServer;
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
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.port.MonotonicClock;
import org.cowslipstair.port.PlatformStore;

/** Both HTTP sides of a gateway, joined by the real call service with one backend server. */
final class Edge implements AutoCloseable {
  static final long SERVICE_TIMEOUT_MS = 20_000;
  private static final int MAX_CONNECTIONS = 64;
  final OkHttpBackendTransport transport;
  final CallerServer server;
  final AtomicInteger handled = new AtomicInteger();
  volatile Optional<PlannedStop> plannedStop = Optional.empty();
  private final MonotonicClock clock = MonotonicClock.system();
  private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();

  Edge(BackendServer backend) {
    this(backend, CallerLimits.defaults());
  }

  Edge(BackendServer backend, CallerLimits limits) {
    transport = new OkHttpBackendTransport(BackendLimits.defaults(), _ -> MAX_CONNECTIONS, clock);
    AtomicInteger ids = new AtomicInteger();
    CallService service = callService(backend);
    CallHandler handler =
        request -> {
          handled.incrementAndGet();
          return service.handle(request);
        };
    server =
        new CallerServer(
            new CallerServerSettings(new HostPort("127.0.0.1", 0), limits),
            handler,
            clock,
            () -> "made-" + ids.incrementAndGet());
    server.start();
  }

  int port() {
    return server.port();
  }

  private CallService callService(BackendServer backend) {
    ConfigSnapshot snapshot = snapshot(backend);
    CallPorts ports =
        new CallPorts(
            () -> snapshot,
            _ -> _ -> permit(backend),
            transport,
            guard(),
            clock,
            Schedulers.computation(),
            threads);
    return new CallService(
        CallSettings.defaults(), ports, new Random(7), InvariantMonitor.failing(), new Hooks());
  }

  private static ConfigSnapshot snapshot(BackendServer backend) {
    Labels none = backend.labels();
    ServiceName name = new ServiceName("watch");
    Selector all = Selector.everything();
    Service service =
        new Service(name, none, all, all, PolicyKind.RANDOM, SERVICE_TIMEOUT_MS, 1, false);
    RoutingRule rule =
        new RoutingRule(
            new RuleName("all"),
            none,
            0,
            Optional.empty(),
            "/",
            Set.of(),
            name,
            Optional.empty(),
            false);
    return ConfigSnapshot.of(1, List.of(new Zone(backend.zone(), none), backend, service, rule));
  }

  private IdempotencyGuard guard() {
    PlatformStore unused =
        (PlatformStore)
            Proxy.newProxyInstance(
                PlatformStore.class.getClassLoader(),
                new Class<?>[] {PlatformStore.class},
                (_, _, _) -> {
                  throw new UnsupportedOperationException();
                });
    return new IdempotencyGuard(
        unused, IdempotencySettings.defaults(), clock, InstantSource.system(), threads, () -> "id");
  }

  private static Permit permit(BackendServer backend) {
    return new Permit() {
      @Override
      public BackendServer backend() {
        return backend;
      }

      @Override
      public boolean canStartCall() {
        return true;
      }

      @Override
      public long expiresAtNs() {
        return Long.MAX_VALUE;
      }

      @Override
      public void release(CallReport report) {}
    };
  }

  @Override
  public void close() {
    server.close();
    transport.close();
    threads.shutdown();
  }

  private final class Hooks implements CallHooks {
    @Override
    public Optional<NotRunReason> refusalReason() {
      return Optional.empty();
    }

    @Override
    public Optional<PlannedStop> plannedStop() {
      return plannedStop;
    }

    @Override
    public void onDecision(String requestId, long atNs, CallDecision decision) {}

    @Override
    public void onFinished(CallSummary summary) {}
  }
}
