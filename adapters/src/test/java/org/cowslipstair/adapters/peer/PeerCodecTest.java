package org.cowslipstair.adapters.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.peer.LeaseMessage;
import org.cowslipstair.model.peer.PeerMessage;
import org.cowslipstair.model.pool.PoolId;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

class PeerCodecTest {
  private static byte[] encode(List<PeerMessage> messages) {
    WireWriter out = new WireWriter(new NameTable());
    messages.forEach(message -> PeerCodec.write(message, out));
    return out.take();
  }

  private static List<PeerMessage> decode(byte[] frame) throws ProtocolException {
    WireReader in = new WireReader(frame, new NameTable());
    List<PeerMessage> messages = new ArrayList<>();
    while (!in.isAtEnd()) {
      messages.add(PeerCodec.read(in, RandomMessages.SENDER));
    }
    return messages;
  }

  /** Any exception but the typed one fails the property. */
  private static void decodeHostile(byte[] frame) {
    try {
      decode(frame);
    } catch (ProtocolException expected) {
      assertThat(expected.error().name().isEmpty(), is(false));
    }
  }

  @Property(seed = "31")
  void everyMessageSurvivesTheWire(@ForAll long seed) throws ProtocolException {
    List<PeerMessage> messages = new ArrayList<>(new RandomMessages(seed).oneOfEachKind());
    messages.addAll(new RandomMessages(seed + 1).oneOfEachKind());

    assertThat(decode(encode(messages)), is(messages));
  }

  @Property(seed = "32", tries = 20_000)
  void randomBytesEndInATypedError(@ForAll @Size(max = 64) byte[] bytes) {
    decodeHostile(bytes);
  }

  @Property(seed = "33", tries = 5_000)
  void damagedMessagesEndInATypedError(@ForAll long seed) {
    Random random = new Random(seed);
    byte[] frame = encode(List.of(new RandomMessages(seed).next()));
    frame[random.nextInt(frame.length)] = (byte) random.nextInt();
    decodeHostile(Arrays.copyOf(frame, random.nextInt(frame.length + 1)));
    decodeHostile(frame);
  }

  @Test
  void countsAndLengthsBeyondTheFrameAreRefusedBeforeAnythingIsAllocated() {
    byte[] hugeArray = {65, (byte) 0xa1, 's', 1, 1, 1, 0, 1, (byte) 0xdd, 0x7f, -1, -1, -1};
    byte[] hugeText = {65, (byte) 0xdb, 0x7f, -1, -1, -1};

    for (byte[] frame : List.of(hugeArray, hugeText)) {
      ProtocolException refused =
          Assertions.assertThrows(ProtocolException.class, () -> decode(frame));
      assertThat(refused.error(), is(ProtocolError.TRUNCATED));
    }
  }

  @Test
  void namesAreSentOnceSoThatLeaseMessagesStaySmall() {
    PoolId pool = new PoolId(new ServiceName("watch"), new ZoneName("tz-north-a"));
    BackendName backend = new BackendName("watch-backend-07");
    WireWriter out = new WireWriter(new NameTable());
    PeerCodec.write(new LeaseMessage.Grant(pool, 900_000, backend, 9_000_000, true, 5), out);
    int first = out.take().length;
    PeerCodec.write(new LeaseMessage.Grant(pool, 900_001, backend, 9_000_000, true, 5), out);
    int second = out.sizeBytes();

    assertThat(out.take().length, is(second));
    assertThat(out.sizeBytes(), is(0));
    assertThat(second, lessThan(16));
    assertThat(second, lessThan(first / 2));
  }
}
