package org.cowslipstair.edge.backend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.ConnectException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.edge.ProtocolHeaders;
import org.cowslipstair.edge.http.ResponseListener;
import org.cowslipstair.edge.http.ServerBytesException;
import org.cowslipstair.edge.http.ServerConnection;
import org.cowslipstair.logic.budget.ProbeRateLimiter;
import org.cowslipstair.model.traffic.LoadReport;
import org.cowslipstair.port.MonotonicClock;

/**
 * Probes a backend server for its load on the connection that will then carry the request. The
 * response also shows that the connection is alive and that the expected instance is at the other
 * end.
 */
public final class Prober {
  /** Time without a response after which a connection is treated as dead. */
  private static final long PROBE_TIMEOUT_MS = 800;

  private static final long NS_PER_MS = 1_000_000L;

  private final EventLoop loop;
  private final BackendTable table;
  private final ProtocolHeaders headers;
  private final ProbeRateLimiter probeRateLimiter;
  private final MonotonicClock clock;
  private final RateLimitHeader rateLimitHeader;

  /** Creates a prober. */
  public Prober(
      EventLoop loop,
      BackendTable table,
      ProtocolHeaders headers,
      ProbeRateLimiter probeRateLimiter,
      MonotonicClock clock) {
    this.loop = loop;
    this.table = table;
    this.headers = headers;
    this.probeRateLimiter = probeRateLimiter;
    this.clock = clock;
    this.rateLimitHeader = new RateLimitHeader(headers.rateLimit());
  }

  /** Receives the result of one probe; exactly one method is called, once. */
  public interface Listener {
    /**
     * The backend server responded; the listener owns the connection.
     *
     * @param report load report; empty if the response has none
     */
    void onResponse(ServerConnection connection, Optional<LoadReport> report);

    /** There is no response and no connection. */
    void onFailure(ProbeFailure failure);
  }

  /** Why a probe failed. */
  public enum ProbeFailure {
    /** The probe budget is spent; no probe was sent. */
    OVER_BUDGET,
    /** No connection could be acquired. */
    UNREACHABLE,
    /** No process listens at the address. */
    REFUSED,
    /** The connection was closed or the probe timed out. */
    LOST,
    /** Another backend instance is at the address. */
    OTHER_INSTANCE
  }

  /**
   * Returns whether the probe budget is nearly spent, so that each request should use few probes.
   */
  public boolean isScarce() {
    return probeRateLimiter.isScarce(clock.nowNs());
  }

  /** Probes a backend instance at its health path. Opening a connection costs no probe budget. */
  public void probe(BackendEntry entry, String path, Listener listener) {
    entry.stats().recordProbeStart(clock.nowNs());
    Listener endingListener = new EndingListener(entry, listener);
    table.acquire(
        entry,
        connection -> sendWithinBudget(entry, connection, path, endingListener),
        cause ->
            endingListener.onFailure(
                isRefused(cause) ? ProbeFailure.REFUSED : ProbeFailure.UNREACHABLE));
  }

  /** Returns whether a connection could not be opened because no process listens. */
  static boolean isRefused(Throwable cause) {
    return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
  }

  private void sendWithinBudget(
      BackendEntry entry, ServerConnection connection, String path, Listener listener) {
    if (probeRateLimiter.tryAcquire(clock.nowNs())) {
      send(entry, connection, path, listener);
    } else {
      table.release(entry, connection);
      listener.onFailure(ProbeFailure.OVER_BUDGET);
    }
  }

  /** Records the end of a probe before its result is passed on. */
  private record EndingListener(BackendEntry entry, Listener listener) implements Listener {
    @Override
    public void onResponse(ServerConnection connection, Optional<LoadReport> report) {
      entry.stats().recordProbeEnd();
      listener.onResponse(connection, report);
    }

    @Override
    public void onFailure(ProbeFailure failure) {
      entry.stats().recordProbeEnd();
      listener.onFailure(failure);
    }
  }

  private void send(
      BackendEntry entry, ServerConnection connection, String path, Listener listener) {
    HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
    request.headers().set(HttpHeaderNames.HOST, entry.stats().instance().address().toString());
    Probe probe = new Probe(entry, connection, listener);
    connection.send(request, ServerConnection.emptyBody(), Optional.empty(), probe);
  }

  private final class Probe implements ResponseListener {
    private final BackendEntry entry;
    private final ServerConnection connection;
    private final Listener listener;
    private Optional<LoadReport> report = Optional.empty();
    private boolean isOtherInstance;
    private boolean finished;
    private final ScheduledFuture<?> timeoutTimer;

    Probe(BackendEntry entry, ServerConnection connection, Listener listener) {
      this.entry = entry;
      this.connection = connection;
      this.listener = listener;
      this.timeoutTimer = loop.schedule(this::onTimeout, PROBE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void onHead(HttpResponse head) {
      long nowNs = clock.nowNs();
      String instance = head.headers().get(headers.instance());
      isOtherInstance =
          instance != null && !instance.equals(entry.stats().instance().name().value());
      if (isOtherInstance) {
        return;
      }
      report = LoadReportParser.parse(head.headers().get(headers.load()));
      boolean isHealthy = head.status().code() == HttpResponseStatus.OK.code();
      entry.stats().recordProbe(isHealthy, nowNs + coldMs(head) * NS_PER_MS, nowNs);
      rateLimitHeader.recordIfPresent(entry, head.headers(), nowNs);
      report.ifPresent(load -> entry.stats().recordLoadReport(load, nowNs));
    }

    private long coldMs(HttpResponse head) {
      String value = head.headers().get(headers.coldRemainingMs());
      try {
        return value == null ? 0 : (long) Math.ceil(Double.parseDouble(value));
      } catch (NumberFormatException ignored) {
        return 0;
      }
    }

    @Override
    public void onBodyPart(ByteBuf part) {}

    @Override
    public void onComplete() {
      finished = true;
      timeoutTimer.cancel(false);
      if (isOtherInstance) {
        connection.close();
        listener.onFailure(ProbeFailure.OTHER_INSTANCE);
      } else {
        listener.onResponse(connection, report);
      }
    }

    @Override
    public void onFailure(ServerBytesException cause) {
      finished = true;
      timeoutTimer.cancel(false);
      listener.onFailure(ProbeFailure.LOST);
    }

    private void onTimeout() {
      if (!finished) {
        finished = true;
        connection.cancel();
        entry.stats().recordUnreachable(clock.nowNs());
        listener.onFailure(ProbeFailure.LOST);
      }
    }
  }
}
