package org.cowslipstair.adapters.http;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.Proxy;
import java.nio.channels.ClosedByInterruptException;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.ToIntFunction;
import okhttp3.Authenticator;
import okhttp3.Call;
import okhttp3.CookieJar;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;
import okhttp3.Request;
import okhttp3.Response;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.port.BackendException;
import org.cowslipstair.port.BackendTransport;
import org.cowslipstair.port.MonotonicClock;

/** Sends calls to backend servers by OkHttp over HTTP/1.1, with every silent retry off. */
public final class OkHttpBackendTransport implements BackendTransport, AutoCloseable {
  private final OkHttpClient client;
  private final BackendLimits limits;
  private final ToIntFunction<BackendServer> maxConnections;
  private final ConcurrentMap<HostPort, BackendConnections> backends = new ConcurrentHashMap<>();
  private final MonotonicClock clock;

  /**
   * Creates a transport.
   *
   * @param maxConnections most connections that this gateway may have to a backend server
   */
  public OkHttpBackendTransport(
      BackendLimits limits, ToIntFunction<BackendServer> maxConnections, MonotonicClock clock) {
    this.limits = limits;
    this.maxConnections = maxConnections;
    this.clock = clock;
    this.client = createClient(limits);
  }

  private static OkHttpClient createClient(BackendLimits limits) {
    return new OkHttpClient.Builder()
        .protocols(List.of(Protocol.HTTP_1_1))
        .proxy(Proxy.NO_PROXY)
        .socketFactory(new BackendSocketFactory())
        .retryOnConnectionFailure(false)
        .fastFallback(false)
        .followRedirects(false)
        .followSslRedirects(false)
        .authenticator(Authenticator.NONE)
        .proxyAuthenticator(Authenticator.NONE)
        .cookieJar(CookieJar.NO_COOKIES)
        .cache(null)
        .connectTimeout(limits.connectTimeoutMs(), TimeUnit.MILLISECONDS)
        .readTimeout(0, TimeUnit.MILLISECONDS)
        .writeTimeout(0, TimeUnit.MILLISECONDS)
        .eventListener(new ExchangeListener())
        .addNetworkInterceptor(new ExchangeInterceptor())
        .build();
  }

  @Override
  public BackendResponse send(BackendServer backend, BackendRequest call)
      throws BackendException, InterruptedException {
    BackendConnections connections = connectionsTo(backend);
    long waitNs = call.deadlineNs() - clock.nowNs();
    if (waitNs <= 0 || !connections.acquire(maxConnections.applyAsInt(backend), waitNs)) {
      throw new BackendException.NotSent(backend.name(), new TimeoutException("deadline passed"));
    }
    boolean answered = false;
    try {
      BackendResponse answer = sendOverFreshConnection(connections, backend, call);
      answered = true;
      return answer;
    } finally {
      if (!answered) {
        connections.release();
      }
    }
  }

  private BackendConnections connectionsTo(BackendServer backend) {
    BackendConnections known = backends.get(backend.address());
    if (known != null) {
      return known;
    }
    // Backend servers come and go; those that are gone have no connections left.
    backends.values().removeIf(BackendConnections::isUnused);
    return backends.computeIfAbsent(backend.address(), _ -> new BackendConnections(client, limits));
  }

  /** Tries again only when a pooled connection turned out stale before a byte was sent. */
  private BackendResponse sendOverFreshConnection(
      BackendConnections connections, BackendServer backend, BackendRequest call)
      throws BackendException, InterruptedException {
    while (true) {
      long remainingNs = call.deadlineNs() - clock.nowNs();
      if (remainingNs <= 0) {
        throw new BackendException.NotSent(backend.name(), new TimeoutException("deadline passed"));
      }
      Request request = createRequest(backend, call, remainingNs);
      Call exchange = connections.client().newCall(request);
      exchange.timeout().timeout(remainingNs, TimeUnit.NANOSECONDS);
      try {
        Response response = exchange.execute();
        return answer(connections, exchange, response);
      } catch (StaleConnectionException _) {
        exchange.cancel();
      } catch (IOException e) {
        exchange.cancel();
        throw classify(backend, call, exchange, e);
      }
    }
  }

  private static BackendResponse answer(
      BackendConnections connections, Call exchange, Response response) throws IOException {
    ExchangeTrace trace = exchange.request().tag(ExchangeTrace.class);
    if (trace == null || trace.answerHead().isEmpty()) {
      throw new IOException("answer without head");
    }
    return new OkHttpBackendAnswer(
        exchange, response, trace.answerHead().get(), connections::release);
  }

  private static Request createRequest(BackendServer backend, BackendRequest call, long remainingNs)
      throws BackendException {
    try {
      return BackendRequests.create(backend, call, remainingNs);
    } catch (IllegalArgumentException e) {
      throw new BackendException.NotSent(backend.name(), e);
    }
  }

  private BackendException classify(
      BackendServer backend, BackendRequest call, Call exchange, IOException failure)
      throws InterruptedException {
    ExchangeTrace trace = exchange.request().tag(ExchangeTrace.class);
    boolean deadlinePassed = call.deadlineNs() - clock.nowNs() <= 0 || isTimeout(failure);
    boolean interrupted = Thread.interrupted();
    if (!deadlinePassed && (interrupted || failure instanceof ClosedByInterruptException)) {
      throw new InterruptedException("call to backend server was cancelled");
    }
    if (trace == null || !trace.mayHaveSent()) {
      return new BackendException.NotSent(backend.name(), failure);
    }
    if (deadlinePassed) {
      return new BackendException.DeadlinePassed(backend.name(), failure);
    }
    if (trace.callerFailure().isPresent()) {
      return new BackendException.CallerFailed(backend.name(), trace.callerFailure().get());
    }
    return new BackendException.ConnectionLost(backend.name(), failure);
  }

  /** Returns whether OkHttp gave the call up because its time was over. */
  private static boolean isTimeout(IOException failure) {
    return failure instanceof InterruptedIOException && "timeout".equals(failure.getMessage());
  }

  /** Returns the number of open connections, idle ones included. */
  public int connectionCount() {
    int count = 0;
    for (BackendConnections connections : backends.values()) {
      count += connections.pool().connectionCount();
    }
    return count;
  }

  /** Returns the number of backend servers that something is remembered of. */
  public int backendCount() {
    return backends.size();
  }

  /** Closes the connections that no call uses. */
  public void closeIdleConnections() {
    for (BackendConnections connections : backends.values()) {
      connections.pool().evictAll();
    }
  }

  @Override
  public void close() {
    client.dispatcher().cancelAll();
    closeIdleConnections();
    client.dispatcher().executorService().shutdown();
  }
}
