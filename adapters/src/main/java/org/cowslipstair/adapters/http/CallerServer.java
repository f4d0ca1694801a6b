package org.cowslipstair.adapters.http;

import io.javalin.Javalin;
import io.javalin.compression.CompressionStrategy;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import org.cowslipstair.logic.call.CallHandler;
import org.cowslipstair.port.MonotonicClock;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.IdleTimeout;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.NetworkTrafficServerConnector;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** The server that callers connect to; each request has a virtual thread of its own. */
public final class CallerServer implements AutoCloseable {
  private static final int MAX_PLATFORM_THREADS = 32;
  private static final int ACCEPT_QUEUE_CONNECTIONS = 1_024;
  private static final int MIN_PLATFORM_THREADS = 4;
  private static final long POLL_NS = 2_000_000;
  private static final long QUIET_MS = 100;

  /** The backend server, not the gateway, says what an encoded separator in a path means. */
  private static final UriCompliance PASSED_ON_AS_SENT =
      UriCompliance.DEFAULT.with(
          "passed on as sent",
          UriCompliance.Violation.AMBIGUOUS_EMPTY_SEGMENT,
          UriCompliance.Violation.AMBIGUOUS_PATH_ENCODING,
          UriCompliance.Violation.AMBIGUOUS_PATH_PARAMETER,
          UriCompliance.Violation.AMBIGUOUS_PATH_SEPARATOR);

  private final CallerServerSettings settings;
  private final MonotonicClock clock;
  private final HangUpWatch hangUps;
  private final CallerBytesWatch bytesWatch;
  private final CallerExchange exchange;
  private final Javalin javalin;
  private final AtomicInteger inProgress = new AtomicInteger();
  private volatile boolean stopping;
  private volatile int port;

  /**
   * Creates a server that does not listen yet.
   *
   * @param handler runs the calls
   * @param requestIds makes an id for a request that has none
   */
  public CallerServer(
      CallerServerSettings settings,
      CallHandler handler,
      MonotonicClock clock,
      Supplier<String> requestIds) {
    this.settings = settings;
    this.clock = clock;
    this.hangUps = new HangUpWatch(clock);
    this.bytesWatch = new CallerBytesWatch(settings.limits().headTimeoutMs(), clock);
    this.exchange =
        new CallerExchange(
            settings.limits(), handler, clock, requestIds, hangUps, bytesWatch, () -> stopping);
    this.javalin = Javalin.create(this::configure);
  }

  private void configure(JavalinConfig config) {
    config.startup.showJavalinBanner = false;
    config.startup.showOldJavalinVersionWarning = false;
    config.http.compressionStrategy = CompressionStrategy.NONE;
    config.jetty.threadPool = threadPool();
    config.jetty.modifyServer(server -> server.setErrorHandler(new ProblemErrorHandler()));
    config.jetty.addConnector((server, _) -> connector(server));
    config.jetty.modifyServletContextHandler(
        context -> context.getServletHandler().setDecodeAmbiguousURIs(true));
    config.routes.before(this::serve);
  }

  private static QueuedThreadPool threadPool() {
    QueuedThreadPool pool = new QueuedThreadPool(MAX_PLATFORM_THREADS, MIN_PLATFORM_THREADS);
    pool.setName("caller");
    pool.setDaemon(true);
    pool.setVirtualThreadsExecutor(Executors.newVirtualThreadPerTaskExecutor());
    return pool;
  }

  private Connector connector(Server server) {
    CallerLimits limits = settings.limits();
    HttpConfiguration http = new HttpConfiguration();
    http.setSendServerVersion(false);
    http.setSendDateHeader(false);
    http.setRequestHeaderSize(limits.maxHeadBytes());
    http.setUriCompliance(PASSED_ON_AS_SENT);
    http.setIdleTimeout(limits.bodyIdleTimeoutMs());
    NetworkTrafficServerConnector connector =
        new NetworkTrafficServerConnector(server, new HttpConnectionFactory(http));
    connector.setNetworkTrafficListener(bytesWatch);
    connector.setHost(settings.address().host());
    connector.setPort(settings.address().port());
    connector.setIdleTimeout(limits.idleTimeoutMs());
    connector.setAcceptQueueSize(ACCEPT_QUEUE_CONNECTIONS);
    return connector;
  }

  private void serve(Context context) {
    inProgress.incrementAndGet();
    try {
      exchange.serve(context.req(), context.res());
    } finally {
      inProgress.decrementAndGet();
      context.skipRemainingHandlers();
    }
  }

  /** Starts to listen and returns the port. */
  public int start() {
    javalin.start();
    hangUps.start();
    bytesWatch.start();
    port = connector().getLocalPort();
    return port;
  }

  /** Returns the port that the server listens on. */
  public int port() {
    return port;
  }

  private ServerConnector connector() {
    return (ServerConnector) javalin.jettyServer().server().getConnectors()[0];
  }

  /** Returns the number of requests in progress. */
  public int inProgress() {
    return inProgress.get();
  }

  /** Tells callers to use each connection for one more request only. */
  public void stopAccepting() {
    stopping = true;
  }

  /**
   * Closes the listening socket and waits until no request is in progress and no connection has
   * moved for a moment, so that a request that is just arriving is served too.
   *
   * @return whether that was so before the deadline
   */
  public boolean drain(long deadlineNs) throws InterruptedException {
    stopping = true;
    connector().close();
    while (!isQuiet()) {
      if (clock.nowNs() - deadlineNs >= 0) {
        return false;
      }
      LockSupport.parkNanos(POLL_NS);
      if (Thread.interrupted()) {
        throw new InterruptedException("drain was interrupted");
      }
    }
    return true;
  }

  private boolean isQuiet() {
    if (inProgress.get() > 0) {
      return false;
    }
    for (EndPoint connection : connector().getConnectedEndPoints()) {
      if (connection instanceof IdleTimeout moving && moving.getIdleFor() < QUIET_MS) {
        return false;
      }
    }
    return inProgress.get() == 0;
  }

  @Override
  public void close() {
    hangUps.stop();
    bytesWatch.stop();
    javalin.stop();
  }
}
