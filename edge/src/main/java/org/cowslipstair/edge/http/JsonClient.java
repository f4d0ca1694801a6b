package org.cowslipstair.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.model.config.HostPort;
import org.jspecify.annotations.Nullable;

/**
 * Calls a JSON service over kept connections. Never repeats a call. A call without an answer in
 * time fails and takes its connection with it. Lives on the event loop.
 */
public final class JsonClient {
  private final EventLoop loop;
  private final ServerConnector connector;
  private final HostPort address;
  private final Deque<ServerConnection> idle = new ArrayDeque<>();

  /** Creates a client of one address. */
  public JsonClient(EventLoop loop, ServerConnector connector, HostPort address) {
    this.loop = loop;
    this.connector = connector;
    this.address = address;
  }

  /**
   * An answer.
   *
   * @param text body
   */
  public record Answer(int status, String text) {}

  /**
   * Makes a call.
   *
   * @param text JSON body; empty for none
   * @param timeoutMs longest time to the whole answer
   */
  public Single<Answer> call(HttpMethod method, String target, String text, long timeoutMs) {
    return Single.create(emitter -> new Call(emitter, method, target, text).start(timeoutMs));
  }

  private final class Call implements AnswerListener {
    private final SingleEmitter<Answer> emitter;
    private final HttpMethod method;
    private final String target;
    private final String text;
    private final ByteArrayOutputStream received = new ByteArrayOutputStream();
    private @Nullable ServerConnection connection;
    private @Nullable ScheduledFuture<?> timer;
    private int status;
    private boolean over;

    Call(SingleEmitter<Answer> emitter, HttpMethod method, String target, String text) {
      this.emitter = emitter;
      this.method = method;
      this.target = target;
      this.text = text;
    }

    void start(long timeoutMs) {
      emitter.setCancellable(this::abandon);
      timer =
          loop.schedule(
              () -> failed(new ServerBytesException.CutShort("no answer in time")),
              timeoutMs,
              TimeUnit.MILLISECONDS);
      ServerConnection kept = takeIdle();
      if (kept != null) {
        send(kept);
        return;
      }
      ServerConnection[] opened = new ServerConnection[1];
      connector.connect(
          address,
          () -> idle.remove(opened[0]),
          fresh -> {
            opened[0] = fresh;
            if (over) {
              fresh.close();
            } else {
              send(fresh);
            }
          },
          cause -> failed(new ServerBytesException.CutShort(String.valueOf(cause.getMessage()))));
    }

    private void send(ServerConnection used) {
      connection = used;
      HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, target);
      request.headers().set(HttpHeaderNames.HOST, address.toString());
      ByteBuf body = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
      if (!text.isEmpty()) {
        request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
      }
      used.send(request, body, Optional.empty(), this);
    }

    @Override
    public void head(HttpResponse head) {
      status = head.status().code();
    }

    @Override
    public void body(ByteBuf part) {
      byte[] bytes = new byte[part.readableBytes()];
      part.getBytes(part.readerIndex(), bytes);
      received.writeBytes(bytes);
    }

    @Override
    public void end() {
      if (settle()) {
        ServerConnection used = connection;
        if (used != null && used.isReusable()) {
          idle.addFirst(used);
        }
        emitter.onSuccess(new Answer(status, received.toString(StandardCharsets.UTF_8)));
      }
    }

    @Override
    public void failed(ServerBytesException cause) {
      if (settle()) {
        if (connection != null) {
          connection.cancel();
        }
        emitter.tryOnError(cause);
      }
    }

    private void abandon() {
      if (settle() && connection != null) {
        connection.cancel();
      }
    }

    private boolean settle() {
      boolean first = !over;
      over = true;
      if (timer != null) {
        timer.cancel(false);
      }
      return first;
    }
  }

  private @Nullable ServerConnection takeIdle() {
    while (true) {
      ServerConnection kept = idle.pollFirst();
      if (kept == null || kept.isReusable()) {
        return kept;
      }
      kept.close();
    }
  }
}
