package org.cowslipstair.edge.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.model.config.HostPort;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Responses that begin before the server has read the request. */
@Timeout(60)
final class ServerConnectionTest {
  private static final int REQUEST_BYTES = 8_000_000;
  private static final int RESPONSE_BYTES = 20_000;
  private static final int READ_BYTES = 16_384;
  private static final int SHORT_REQUEST_BYTES = 40_000;
  private static final long WORK_MS = 400;

  /** Small, so that most of the request waits in the process. */
  private static final int SERVER_BUFFER_BYTES = 65_536;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final ServerSocket server = new ServerSocket();
  private final CompletableFuture<Outcome> outcome = new CompletableFuture<>();
  private final CompletableFuture<ServerConnection> opened = new CompletableFuture<>();
  private boolean readsWhileReset = true;
  private int requestBytes = REQUEST_BYTES;

  private sealed interface Outcome {
    record Complete(int bodyBytes) implements Outcome {}

    record Failed(ServerBytesException cause) implements Outcome {}
  }

  /** How a connection ends; the number of request bytes that the server reads before. */
  private enum End {
    RESET(READ_BYTES),
    OUTPUT_CLOSED(READ_BYTES),
    /** A server that reads the request, works on it and responds. */
    OUTPUT_CLOSED_AFTER_WORK(REQUEST_BYTES),
    /** The system resets a connection that is closed with bytes unread. */
    CLOSED_WITH_BYTES_UNREAD(READ_BYTES),
    CLOSED_BEFORE_LAST_BYTE(REQUEST_BYTES - 1),
    RESET_AFTER_LAST_BYTE(REQUEST_BYTES);

    private final int readBytes;

    End(int readBytes) {
      this.readBytes = readBytes;
    }
  }

  ServerConnectionTest() throws IOException {
    server.setReceiveBufferSize(SERVER_BUFFER_BYTES);
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  @AfterEach
  void close() throws IOException {
    server.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /**
   * Guards against a response without a length that is reset and passes as complete (incident 7).
   */
  @RepeatedTest(5)
  void responseThatIsResetWhileTheRequestIsWrittenFails() throws Exception {
    assertThat(outcomeOfEarlyResponse(End.RESET), instanceOf(Outcome.Failed.class));
  }

  /** Guards against taking every end of such a response for a failure. */
  @RepeatedTest(5)
  void responseThatEndsAfterAShortRequestIsComplete() throws Exception {
    requestBytes = SHORT_REQUEST_BYTES;
    assertThat(
        outcomeOfEarlyResponse(End.OUTPUT_CLOSED),
        is(equalTo(new Outcome.Complete(RESPONSE_BYTES))));
  }

  /** What a server closes with bytes unread looks the same, if the end arrives before the reset. */
  @RepeatedTest(5)
  void responseThatEndsWhileALongRequestIsWrittenFails() throws Exception {
    assertThat(outcomeOfEarlyResponse(End.OUTPUT_CLOSED), instanceOf(Outcome.Failed.class));
  }

  /** Guards against taking every response without a length to a long request for a failure. */
  @RepeatedTest(5)
  void responseAfterTheWorkOnALongRequestIsComplete() throws Exception {
    assertThat(
        outcomeOfEarlyResponse(End.OUTPUT_CLOSED_AFTER_WORK),
        is(equalTo(new Outcome.Complete(RESPONSE_BYTES))));
  }

  @ParameterizedTest
  @EnumSource(names = {"RESET", "CLOSED_WITH_BYTES_UNREAD", "CLOSED_BEFORE_LAST_BYTE"})
  void responseFailsWhenNobodyReadsAsItIsReset(End end) throws Exception {
    readsWhileReset = false;
    assertThat(outcomeOfEarlyResponse(end), instanceOf(Outcome.Failed.class));
  }

  @ParameterizedTest
  @EnumSource(
      names = {"CLOSED_WITH_BYTES_UNREAD", "CLOSED_BEFORE_LAST_BYTE", "RESET_AFTER_LAST_BYTE"})
  void responseFailsWhereverTheRequestIsReset(End end) throws Exception {
    assertThat(outcomeOfEarlyResponse(end), instanceOf(Outcome.Failed.class));
  }

  private Outcome outcomeOfEarlyResponse(End end)
      throws IOException, InterruptedException, ExecutionException {
    EventLoop loop = group.next();
    new ServerConnector(loop, "X-Id", 1_000)
        .connect(
            new HostPort("127.0.0.1", server.getLocalPort()),
            () -> {},
            connection -> {
              connection.send(
                  request(),
                  Unpooled.wrappedBuffer(new byte[requestBytes]),
                  Optional.empty(),
                  new Recorder());
              opened.complete(connection);
            },
            outcome::completeExceptionally);
    try (Socket socket = server.accept()) {
      InputStream in = socket.getInputStream();
      readHead(in);
      in.readNBytes(end.readBytes);
      if (end == End.OUTPUT_CLOSED_AFTER_WORK) {
        TimeUnit.MILLISECONDS.sleep(WORK_MS);
      }
      socket.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().write(new byte[RESPONSE_BYTES]);
      // Lets the response arrive before the connection ends.
      TimeUnit.MILLISECONDS.sleep(100);
      if (!readsWhileReset) {
        loop.submit(() -> opened.join().setAutoRead(false)).get();
      }
      end(socket, end);
      if (!readsWhileReset) {
        TimeUnit.MILLISECONDS.sleep(100);
        loop.submit(() -> opened.join().setAutoRead(true)).get();
      }
      return outcome.get();
    }
  }

  private static void readHead(InputStream in) throws IOException {
    String end = "\r\n\r\n";
    for (int matched = 0; matched < end.length(); ) {
      matched = in.read() == end.charAt(matched) ? matched + 1 : 0;
    }
  }

  private static void end(Socket socket, End end) throws IOException {
    if (end == End.OUTPUT_CLOSED || end == End.OUTPUT_CLOSED_AFTER_WORK) {
      socket.shutdownOutput();
      return;
    }
    if (end == End.RESET || end == End.RESET_AFTER_LAST_BYTE) {
      socket.setSoLinger(true, 0);
    }
    socket.close();
  }

  private HttpRequest request() {
    HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/upload");
    request.headers().set(HttpHeaderNames.CONTENT_LENGTH, requestBytes);
    return request;
  }

  private final class Recorder implements ResponseListener {
    private int bodyBytes;

    @Override
    public void onHead(HttpResponse head) {}

    @Override
    public void onBodyPart(ByteBuf part) {
      bodyBytes += part.readableBytes();
    }

    @Override
    public void onComplete() {
      outcome.complete(new Outcome.Complete(bodyBytes));
    }

    @Override
    public void onFailure(ServerBytesException cause) {
      outcome.complete(new Outcome.Failed(cause));
    }
  }
}
