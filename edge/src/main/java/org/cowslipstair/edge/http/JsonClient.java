package org.cowslipstair.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
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
 * HTTP client of a JSON service with persistent connections. Never retries a request. A request
 * that times out fails and closes its connection. Used on the event loop only.
 */
public final class JsonClient {
  /** Maximum length of a response body; a page of the store has about 1 MB. */
  private static final int MAX_RESPONSE_BYTES = 8 << 20;

  private final EventLoop loop;
  private final ServerConnector connector;
  private final HostPort address;
  private final Deque<ServerConnection> idleConnections = new ArrayDeque<>();

  /** Creates a client for one address. */
  public JsonClient(EventLoop loop, ServerConnector connector, HostPort address) {
    this.loop = loop;
    this.connector = connector;
    this.address = address;
  }

  /**
   * A response.
   *
   * @param headers header fields
   * @param body text of the body
   */
  public record Response(int status, HttpHeaders headers, String body) {}

  /**
   * Returns a call that sends one request when it is subscribed to.
   *
   * @param text JSON body; empty for none
   * @param timeoutMs maximum time until the response is complete
   */
  public Single<Response> call(HttpMethod method, String target, String text, long timeoutMs) {
    return Single.create(emitter -> new Call(emitter, method, target, text).start(timeoutMs));
  }

  private final class Call implements ResponseListener {
    private final SingleEmitter<Response> emitter;
    private final HttpMethod method;
    private final String target;
    private final String text;
    private final ByteArrayOutputStream receivedBytes = new ByteArrayOutputStream();
    private @Nullable ServerConnection connection;
    private @Nullable ScheduledFuture<?> timer;
    private int status;
    private HttpHeaders headers = EmptyHttpHeaders.INSTANCE;
    private boolean finished;

    Call(SingleEmitter<Response> emitter, HttpMethod method, String target, String text) {
      this.emitter = emitter;
      this.method = method;
      this.target = target;
      this.text = text;
    }

    void start(long timeoutMs) {
      emitter.setCancellable(this::onDisposed);
      timer =
          loop.schedule(
              () -> onFailure(new ServerBytesException.CutShort("no answer in time")),
              timeoutMs,
              TimeUnit.MILLISECONDS);
      ServerConnection idleConnection = pollIdleConnection();
      if (idleConnection != null) {
        send(idleConnection);
        return;
      }
      ServerConnection[] opened = new ServerConnection[1];
      connector.connect(
          address,
          () -> idleConnections.remove(opened[0]),
          newConnection -> {
            opened[0] = newConnection;
            if (finished) {
              newConnection.close();
            } else {
              send(newConnection);
            }
          },
          cause ->
              onFailure(new ServerBytesException.CutShort(String.valueOf(cause.getMessage()))));
    }

    private void send(ServerConnection usedConnection) {
      connection = usedConnection;
      HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, target);
      request.headers().set(HttpHeaderNames.HOST, address.toString());
      ByteBuf body = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
      if (!text.isEmpty()) {
        request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
      }
      usedConnection.send(request, body, Optional.empty(), this);
    }

    @Override
    public void onHead(HttpResponse head) {
      status = head.status().code();
      headers = head.headers();
    }

    @Override
    public void onBodyPart(ByteBuf part) {
      if (receivedBytes.size() + (long) part.readableBytes() > MAX_RESPONSE_BYTES) {
        onFailure(new ServerBytesException.Malformed("response is too long"));
        return;
      }
      byte[] bytes = new byte[part.readableBytes()];
      part.getBytes(part.readerIndex(), bytes);
      receivedBytes.writeBytes(bytes);
    }

    @Override
    public void onComplete() {
      if (tryFinish()) {
        ServerConnection usedConnection = connection;
        if (usedConnection != null && usedConnection.isReusable()) {
          idleConnections.addFirst(usedConnection);
        }
        emitter.onSuccess(
            new Response(status, headers, receivedBytes.toString(StandardCharsets.UTF_8)));
      }
    }

    @Override
    public void onFailure(ServerBytesException cause) {
      if (tryFinish()) {
        if (connection != null) {
          connection.cancel();
        }
        emitter.tryOnError(cause);
      }
    }

    private void onDisposed() {
      if (tryFinish() && connection != null) {
        connection.cancel();
      }
    }

    private boolean tryFinish() {
      boolean isFirst = !finished;
      finished = true;
      if (timer != null) {
        timer.cancel(false);
      }
      return isFirst;
    }
  }

  private @Nullable ServerConnection pollIdleConnection() {
    while (true) {
      ServerConnection idleConnection = idleConnections.pollFirst();
      if (idleConnection == null || idleConnection.isReusable()) {
        return idleConnection;
      }
      idleConnection.close();
    }
  }
}
