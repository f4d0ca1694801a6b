package org.cowslipstair.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.traffic.GatewayEntry;
import org.cowslipstair.model.traffic.StorePosition;
import org.cowslipstair.port.MonotonicClock;
import org.cowslipstair.port.ObjectFeed.Collection;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@Timeout(60)
final class RelayServerTest {
  private static final long MAX_BYTES = 64L << 20;
  private static final long LATE_MS = 100;
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @AfterEach
  void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static Optional<byte[]> reject(byte[] frame) throws IOException {
    throw new IOException("unexpected frame of " + frame.length + " bytes");
  }

  /** A supplier whose messages did not arrive here proves nothing about this gateway's state. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void proofCountsIfThisGatewayHasWhatItProves(boolean hasReached) throws InterruptedException {
    EventLoop loop = group.next();
    RelayServer server =
        new RelayServer(MonotonicClock.system(), List::of, RelayServerTest::reject);
    int port = server.open(loop, new HostPort("127.0.0.1", 0));
    Map<Collection, StorePosition> positions =
        Map.of(Collection.CONFIGURATION, new StorePosition(0, 9));
    CountDownLatch received = new CountDownLatch(1);
    RelayLink link =
        new RelayLink(
            new GatewayEntry("g", new ZoneName("z"), new HostPort("127.0.0.1", port)),
            MonotonicClock.system(),
            new RelayLink.Listener() {
              @Override
              public void onMessage(RelayMessage message) {
                received.countDown();
              }

              @Override
              public boolean hasReached(Map<Collection, StorePosition> proven) {
                return hasReached && proven.equals(positions);
              }
            });
    loop.execute(() -> link.open(loop));
    while (server.subscribers() == 0) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
    loop.execute(() -> server.publish(new RelayMessage.CurrencyProof(0, positions)));
    received.await();
    assertThat(link.isOpenWithProof(), is(hasReached));
  }

  /** A gateway with a slow processor got the whole state, since its first frame came late. */
  @Test
  void gatewayThatDoesNotSubscribeGetsNoStateHoweverLateItsFirstFrameIs()
      throws IOException, InterruptedException {
    byte[] reply = {42};
    RelayServer server =
        new RelayServer(MonotonicClock.system(), RelayServerTest::state, _ -> Optional.of(reply));
    int port = server.open(group.next(), new HostPort("127.0.0.1", 0));
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      TimeUnit.MILLISECONDS.sleep(LATE_MS);
      socket.getOutputStream().write(new byte[] {0, 0, 0, 1, 16});
      byte[] expected = {0, 0, 0, 1, 42};
      assertThat(socket.getInputStream().readNBytes(expected.length), is(expected));
    }
  }

  /** Gateways of an earlier release subscribe without a frame. */
  @Test
  void gatewayThatSendsNothingIsASubscriber() throws IOException, InterruptedException {
    RelayServer server =
        new RelayServer(MonotonicClock.system(), RelayServerTest::state, RelayServerTest::reject);
    int port = server.open(group.next(), new HostPort("127.0.0.1", 0));
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      assertThat(socket.getInputStream().read(), is(0));
      assertThat(server.subscribers(), is(1));
    }
  }

  private static List<RelayMessage> state() {
    return List.of(
        new RelayMessage.Snapshot(Collection.ZONES_OUT, new StorePosition(0, 9), List.of()));
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
