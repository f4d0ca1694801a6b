package org.cowslipstair.edge.backend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.edge.ProtocolHeaders;
import org.cowslipstair.edge.http.AnswerListener;
import org.cowslipstair.edge.http.ServerBytesException;
import org.cowslipstair.edge.http.ServerConnection;
import org.cowslipstair.logic.budget.ProbeAllowance;
import org.cowslipstair.model.traffic.LoadReport;
import org.cowslipstair.port.MonotonicClock;

/**
 * Asks a backend server for its load on the connection that will then carry the request. The answer
 * also proves that the connection is alive and that the expected instance is at its other end.
 */
public final class Prober {
  /** A probe without an answer for this long means that the connection is dead. */
  private static final long SILENCE_MS = 800;

  private static final long NS_PER_MS = 1_000_000L;

  private final EventLoop loop;
  private final BackendTable table;
  private final ProtocolHeaders headers;
  private final ProbeAllowance allowance;
  private final MonotonicClock clock;

  /** Creates a prober. */
  public Prober(
      EventLoop loop,
      BackendTable table,
      ProtocolHeaders headers,
      ProbeAllowance allowance,
      MonotonicClock clock) {
    this.loop = loop;
    this.table = table;
    this.headers = headers;
    this.allowance = allowance;
    this.clock = clock;
  }

  /** Receives the result of one probe; exactly one method is called, once. */
  public interface Listener {
    /**
     * The backend server answered. The listener owns the connection now.
     *
     * @param report load, empty if the backend server tells none
     */
    void answered(ServerConnection connection, Optional<LoadReport> report);

    /** There is no answer and no connection. */
    void failed(ProbeFailure failure);
  }

  /** Why a probe brought nothing. */
  public enum ProbeFailure {
    /** No probe was sent, as the budget is spent. */
    OVER_BUDGET,
    /** No connection could be had. */
    UNREACHABLE,
    /** The connection ended or stayed silent. */
    LOST,
    /** Another instance is at the address. */
    OTHER_INSTANCE
  }

  /** Returns whether few probes are left, so that each request should use few. */
  public boolean isScarce() {
    return allowance.isScarce(clock.nowNs());
  }

  /** Probes a backend instance. */
  public void probe(BackendEntry entry, String path, Listener listener) {
    if (!allowance.tryTake(clock.nowNs())) {
      listener.failed(ProbeFailure.OVER_BUDGET);
      return;
    }
    table.acquire(
        entry,
        connection -> send(entry, connection, path, listener),
        _ -> listener.failed(ProbeFailure.UNREACHABLE));
  }

  private void send(
      BackendEntry entry, ServerConnection connection, String path, Listener listener) {
    HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
    request.headers().set(HttpHeaderNames.HOST, entry.record().instance().address().toString());
    Running running = new Running(entry, connection, listener);
    connection.send(request, ServerConnection.noBody(), Optional.empty(), running);
  }

  private final class Running implements AnswerListener {
    private final BackendEntry entry;
    private final ServerConnection connection;
    private final Listener listener;
    private Optional<LoadReport> report = Optional.empty();
    private boolean isOther;
    private boolean ended;
    private final ScheduledFuture<?> silence;

    Running(BackendEntry entry, ServerConnection connection, Listener listener) {
      this.entry = entry;
      this.connection = connection;
      this.listener = listener;
      this.silence = loop.schedule(this::silent, SILENCE_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void head(HttpResponse head) {
      long nowNs = clock.nowNs();
      String instance = head.headers().get(headers.instance());
      isOther = instance != null && !instance.equals(entry.record().instance().name().value());
      if (isOther) {
        return;
      }
      report = LoadHeader.parse(head.headers().get(headers.load()));
      boolean healthy = head.status().code() == HttpResponseStatus.OK.code();
      entry.record().probed(healthy, nowNs + coldMs(head) * NS_PER_MS, nowNs);
      report.ifPresent(load -> entry.record().reported(load, nowNs));
    }

    private long coldMs(HttpResponse head) {
      String value = head.headers().get(headers.coldMs());
      try {
        return value == null ? 0 : (long) Math.ceil(Double.parseDouble(value));
      } catch (NumberFormatException ignored) {
        return 0;
      }
    }

    @Override
    public void body(ByteBuf part) {}

    @Override
    public void end() {
      ended = true;
      silence.cancel(false);
      if (isOther) {
        connection.close();
        listener.failed(ProbeFailure.OTHER_INSTANCE);
      } else {
        listener.answered(connection, report);
      }
    }

    @Override
    public void failed(ServerBytesException cause) {
      ended = true;
      silence.cancel(false);
      listener.failed(ProbeFailure.LOST);
    }

    private void silent() {
      if (!ended) {
        ended = true;
        connection.cancel();
        entry.record().unreachable(clock.nowNs());
        listener.failed(ProbeFailure.LOST);
      }
    }
  }
}
