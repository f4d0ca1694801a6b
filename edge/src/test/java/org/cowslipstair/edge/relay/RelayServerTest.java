package org.cowslipstair.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThan;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.port.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
final class RelayServerTest {
  private static final long MAX_BYTES = 64L << 20;
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @AfterEach
  void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static Optional<byte[]> reject(byte[] frame) throws IOException {
    throw new IOException("unexpected frame of " + frame.length + " bytes");
  }

  @Test
  void subscriberThatSendsBytesWithoutEndLosesItsConnection()
      throws IOException, InterruptedException {
    RelayServer server =
        new RelayServer(MonotonicClock.system(), List::of, RelayServerTest::reject);
    int port = server.open(group.next(), new HostPort("127.0.0.1", 0));
    byte[] part = new byte[64 * 1024];
    long writtenBytes = 0;
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      while (writtenBytes < MAX_BYTES) {
        socket.getOutputStream().write(part);
        writtenBytes += part.length;
      }
    } catch (IOException ignored) {
      // The server closed the connection.
    }
    assertThat(writtenBytes, lessThan(MAX_BYTES));
  }
}
