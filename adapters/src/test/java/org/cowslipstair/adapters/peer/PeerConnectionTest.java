package org.cowslipstair.adapters.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.ObjectKind;
import org.cowslipstair.model.config.StoreId;
import org.cowslipstair.model.config.StoredObject;
import org.cowslipstair.model.peer.ConfigMessage.ConfigObjects;
import org.cowslipstair.model.peer.PeerMessage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
final class PeerConnectionTest {
  private static final byte[] KEY = "a key of at least 16 bytes".getBytes(StandardCharsets.UTF_8);
  private static final int MAX_FRAME_BYTES = 100_000;

  private static PeerMessage message(int sequence) {
    StoredObject large =
        new StoredObject(
            new ObjectKey(ObjectKind.ZONE, "z" + sequence),
            1,
            "c",
            false,
            "x".repeat(MAX_FRAME_BYTES / 2));
    return new ConfigObjects(new StoreId("s"), 0, 0, 1, 0, 1, List.of(), List.of(large));
  }

  /** Two messages that fit into a frame each, but not into one together. */
  @Test
  void queuedMessagesThatExceedAFrameTogetherGoOutInSeveral() throws Exception {
    PeerTransportSettings settings =
        new PeerTransportSettings(
            new HostPort("127.0.0.1", 0), KEY, 1_000, 3, MAX_FRAME_BYTES, 64, 20_000);
    TrafficCounter traffic = new TrafficCounter();
    List<PeerMessage> sent = new ArrayList<>();
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        Socket out = new Socket(server.getInetAddress(), server.getLocalPort());
        Socket in = server.accept()) {
      PeerConnection connection =
          new PeerConnection(
              new FrameStream(out),
              settings,
              TcpPeerTransportTest.member("peer", 1, new HostPort("127.0.0.1", 1)),
              true,
              traffic);
      for (int i = 0; i < 5; i++) {
        sent.add(message(i));
        connection.send(sent.getLast());
      }
      connection.closeAfterWriting();
      Thread writer = Thread.ofVirtual().start(connection::runWriter);
      List<PeerMessage> received = readAll(new FrameStream(in));
      writer.join();
      assertThat(received.size(), is(sent.size()));
      assertThat(received.equals(sent), is(true));
    }
  }

  private static List<PeerMessage> readAll(FrameStream frames) throws Exception {
    NameTable names = new NameTable();
    List<PeerMessage> received = new ArrayList<>();
    while (true) {
      Optional<byte[]> frame = frames.read(Integer.MAX_VALUE, _ -> {});
      if (frame.isEmpty()) {
        return received;
      }
      assertThat(frame.get().length, lessThanOrEqualTo(MAX_FRAME_BYTES));
      WireReader reader = new WireReader(frame.get(), names);
      while (!reader.isAtEnd()) {
        received.add(
            PeerCodec.read(
                reader, TcpPeerTransportTest.member("a", 1, new HostPort("127.0.0.1", 1))));
      }
    }
  }
}
