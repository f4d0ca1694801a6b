package org.cowslipstair.adapters.http;

import java.util.concurrent.atomic.AtomicInteger;
import org.cowslipstair.logic.call.CallHandler;
import org.cowslipstair.logic.call.CallRequest;
import org.cowslipstair.logic.call.CallResult;
import org.cowslipstair.model.call.MayHaveRunReason;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.port.BackendException;
import org.cowslipstair.port.BackendTransport.BackendCall;
import org.cowslipstair.port.MonotonicClock;

/** Both sides of a gateway, joined by a handler that sends each call once to one backend. */
final class Edge implements AutoCloseable {
  static final long CALL_TIMEOUT_NS = 20_000_000_000L;
  static final int MAX_CONNECTIONS = 14;
  final OkHttpBackendTransport transport;
  final CallerServer server;
  final AtomicInteger handled = new AtomicInteger();
  private final BackendServer backend;

  Edge(BackendServer backend) {
    this(backend, CallerLimits.defaults());
  }

  Edge(BackendServer backend, CallerLimits limits) {
    this.backend = backend;
    this.transport =
        new OkHttpBackendTransport(
            BackendLimits.defaults(), _ -> MAX_CONNECTIONS, MonotonicClock.system());
    AtomicInteger ids = new AtomicInteger();
    CallHandler handler = this::handle;
    this.server =
        new CallerServer(
            new CallerServerSettings(new HostPort("127.0.0.1", 0), limits),
            handler,
            MonotonicClock.system(),
            () -> "made-" + ids.incrementAndGet());
    server.start();
  }

  int port() {
    return server.port();
  }

  private CallResult handle(CallRequest request) throws InterruptedException {
    handled.incrementAndGet();
    long latestNs = MonotonicClock.system().nowNs() + CALL_TIMEOUT_NS;
    long deadlineNs = Math.min(latestNs, request.callerDeadlineNs());
    BackendCall call =
        new BackendCall(
            request.method(), request.target(), request.headers(), request.body(), deadlineNs);
    try {
      return new CallResult.Answered(transport.send(backend, call));
    } catch (BackendException.NotSent _) {
      return new CallResult.NotRun(NotRunReason.BACKEND_UNREACHABLE, 1_500);
    } catch (BackendException.DeadlinePassed _) {
      return new CallResult.MayHaveRun(MayHaveRunReason.DEADLINE_PASSED);
    } catch (BackendException _) {
      return new CallResult.MayHaveRun(MayHaveRunReason.CONNECTION_LOST);
    }
  }

  @Override
  public void close() {
    server.close();
    transport.close();
  }
}
