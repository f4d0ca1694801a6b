package org.cowslipstair.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** A peer sends malformed frames to a gateway, which goes on to serve callers and other peers. */
@Timeout(60)
final class MalformedFramesTest {
  private static final int FRAMES = 2_000;
  private static final int FRAMES_PER_CONNECTION = 4;
  private static final int PING = 16;
  private static final int PERMIT_REQUEST = 18;
  private static final int SUSPECTS = 32;
  private static final int COMPARE = 33;

  private static byte[] permitRequest(String backend) throws IOException {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(PERMIT_REQUEST).packLong(7).packInt(1).packString(backend).packLong(1);
      packer.packBoolean(true).packDouble(1.5).packLong(12);
      return packer.toByteArray();
    }
  }

  private static byte[] suspects(String backend) throws IOException {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(SUSPECTS).packArrayHeader(1).packString("0123456789".repeat(4));
      packer.packInt(0).packLong(0).packLong(5).packMapHeader(1);
      packer.packString(backend).packLong(1).packLong(9).packBoolean(false);
      return packer.toByteArray();
    }
  }

  private static byte[] compare() throws IOException {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(COMPARE).packLong(3);
      return packer.toByteArray();
    }
  }

  @Test
  void gatewayServesOthersAfterMalformedFrames() throws IOException, InterruptedException {
    try (GatewayFixture fixture = GatewayFixture.fleet(2, 2)) {
      // A limit that can be read holds for the server that it names; the other one has none.
      String backend = fixture.backends.getLast().id;
      List<byte[]> frames =
          List.of(new byte[] {PING}, permitRequest(backend), suspects(backend), compare());
      Random random = new Random(2826);
      for (int i = 0; i < FRAMES / FRAMES_PER_CONNECTION; i++) {
        sendMalformed(fixture.relayPort(0), frames, random);
      }
      for (int i = 0; i < 2; i++) {
        try (RawClient client = new RawClient(fixture.gateways.get(i).callerPort())) {
          assertThat(client.send(RawClient.get("/safe/x", "after-" + i)).status(), is(200));
        }
        assertThat(fixture.state(i).path("ready").asBoolean(), is(true));
      }
      assertThat(fixture.violations, empty());
    }
  }

  private static void sendMalformed(int port, List<byte[]> frames, Random random)
      throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      for (int i = 0; i < FRAMES_PER_CONNECTION; i++) {
        byte[] frame = frames.get(random.nextInt(frames.size()));
        byte[] malformed =
            frame.length == 1 || random.nextBoolean()
                ? Mutations.mutate(frame, random)
                : Mutations.mutateValue(frame, random);
        out.writeInt(random.nextInt(50) == 0 ? random.nextInt() : malformed.length);
        out.write(malformed);
      }
      socket.shutdownOutput();
      socket.getInputStream().readAllBytes();
    } catch (SocketException closedByTheGateway) {
      return;
    }
  }
}
