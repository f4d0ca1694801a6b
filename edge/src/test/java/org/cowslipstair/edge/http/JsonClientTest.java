package org.cowslipstair.edge.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import io.reactivex.rxjava3.observers.TestObserver;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.cowslipstair.model.config.HostPort;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@Timeout(60)
final class JsonClientTest {
  private static final long MAX_BYTES = 256L << 20;
  private static final long TIMEOUT_MS = 40_000;
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final ServerSocket server;
  private final AtomicLong writtenBytes = new AtomicLong();

  JsonClientTest() throws IOException {
    server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
  }

  @AfterEach
  void close() throws IOException {
    server.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** A store whose response has no end and arrives as quickly as it is read. */
  @Test
  void responseWithoutEndFailsBeforeItFillsTheMemory() throws InterruptedException {
    Thread writer = Thread.ofPlatform().daemon().start(this::writeWithoutEnd);
    JsonClient client =
        new JsonClient(
            group.next(),
            new ServerConnector(group.next(), "X-Id", 1_000),
            new HostPort("127.0.0.1", server.getLocalPort()));
    TestObserver<JsonClient.Response> response =
        client.call(HttpMethod.GET, "/objects/x", "", TIMEOUT_MS).test();
    response.awaitDone(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    response.assertError(cause -> cause instanceof ServerBytesException);
    writer.join();
    assertThat(writtenBytes.get(), lessThan(MAX_BYTES));
  }

  /** A store in trouble, whose status is none: nothing that it sends is a response. */
  @ParameterizedTest
  @ValueSource(strings = {"000", "099", "600", "0200", "+200", "101"})
  void statusThatIsNoneIsNoResponse(String status) throws IOException {
    JsonClient client =
        new JsonClient(
            group.next(),
            new ServerConnector(group.next(), "X-Id", 1_000),
            new HostPort("127.0.0.1", server.getLocalPort()));
    TestObserver<JsonClient.Response> response =
        client.call(HttpMethod.GET, "/objects/x", "", TIMEOUT_MS).test();
    try (Socket socket = server.accept()) {
      String bytes = "HTTP/1.1 %s X\r\nContent-Length: 2\r\n\r\n{}".formatted(status);
      socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
      response.awaitDone(TIMEOUT_MS / 2, TimeUnit.MILLISECONDS);
      response.assertError(cause -> cause instanceof ServerBytesException.Malformed);
      byte[] request = socket.getInputStream().readAllBytes();
      assertThat(request.length, greaterThan(0));
    }
  }

  private void writeWithoutEnd() {
    byte[] part = "x".repeat(64 * 1024).getBytes(StandardCharsets.US_ASCII);
    try (Socket socket = server.accept()) {
      OutputStream out = socket.getOutputStream();
      out.write("HTTP/1.1 200 OK\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      while (writtenBytes.get() < MAX_BYTES) {
        out.write(part);
        writtenBytes.addAndGet(part.length);
      }
    } catch (IOException ignored) {
      // The client closed the connection.
    }
  }
}
