package org.cowslipstair.adapters.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

import io.reactivex.rxjava3.subscribers.TestSubscriber;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.ObjectKind;
import org.cowslipstair.model.config.StoreId;
import org.cowslipstair.model.config.StoredObject;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.model.peer.ConfigMessage.ConfigObjects;
import org.cowslipstair.model.peer.ConfigMessage.ConfigRequest;
import org.cowslipstair.model.peer.PeerMessage;
import org.cowslipstair.port.MonotonicClock;
import org.cowslipstair.port.PeerTransport;
import org.cowslipstair.port.PeerTransport.PeerEvent;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Attacks the peer port over real sockets, beside a healthy connection that loses nothing. */
class HostilePeerTest {
  private static final byte[] KEY = "a key of at least 16 bytes".getBytes(StandardCharsets.UTF_8);
  private static final int MAX_FRAME_BYTES = 100_000;
  private static final int HANDSHAKE_MS = 1_500;

  private final List<PeerEvent> eventsAtA = new ArrayList<>();
  private TcpPeerTransport a;
  private TcpPeerTransport b;
  private TestSubscriber<PeerMessage> atB;
  private int sent;

  private static TcpPeerTransport open(String name, long incarnation, byte[] key)
      throws IOException {
    PeerTransportSettings settings =
        new PeerTransportSettings(
            new HostPort("127.0.0.1", 0), key, HANDSHAKE_MS, 3, MAX_FRAME_BYTES, 64, 20_000);
    return TcpPeerTransport.open(
        settings,
        address -> TcpPeerTransportTest.member(name, incarnation, address),
        MonotonicClock.system());
  }

  @BeforeEach
  void connectTwoGateways() throws Exception {
    a = open("a", 1, KEY);
    b = open("b", 1, KEY);
    a.events().subscribe(this::record);
    atB = TcpPeerTransportTest.received(b);
    a.connectTo(Set.of(TcpPeerTransportTest.entryOf(b)));
    TcpPeerTransportTest.awaitConnected(a, b);
  }

  private synchronized void record(PeerEvent event) {
    eventsAtA.add(event);
  }

  /** Forgets the end of a connection that the test expects. */
  private synchronized void forgetDisconnects() {
    eventsAtA.removeIf(
        event ->
            event instanceof PeerEvent.Disconnected(GatewayId peer) && !peer.equals(b.self().id()));
  }

  private synchronized List<PeerEvent> events() {
    return List.copyOf(eventsAtA);
  }

  /** Nothing was lost on the healthy connection, whatever the test did beside it. */
  @AfterEach
  void closeGateways() {
    send(10);
    int got = atB.awaitCount(sent).values().size();
    boolean dropped = events().stream().anyMatch(PeerEvent.Disconnected.class::isInstance);
    a.close();
    b.close();
    assertThat(got, is(sent));
    assertThat(b.refusals().keySet(), empty());
    assertThat("healthy connection was dropped", dropped, is(false));
  }

  private void send(int count) {
    for (int i = 0; i < count; i++) {
      a.send(new GatewayName("b"), new ConfigRequest(new StoreId("s"), 0, sent++));
    }
  }

  private static void await(String what, BooleanSupplier condition) throws InterruptedException {
    long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    while (!condition.getAsBoolean()) {
      assertThat(what, System.nanoTime() < deadlineNs, is(true));
      Thread.sleep(5);
    }
  }

  private void awaitRefusal(ProtocolError error) throws InterruptedException {
    await("refusal: " + error, () -> a.refusals().getOrDefault(error, 0L) > 0);
  }

  private Socket connect() throws IOException {
    return new Socket("127.0.0.1", a.self().peerAddress().port());
  }

  private static byte[] frame(byte... payload) {
    return ByteBuffer.allocate(4 + payload.length).putInt(payload.length).put(payload).array();
  }

  private void strangerSends(byte[] bytes, ProtocolError expected) throws Exception {
    try (Socket socket = connect()) {
      socket.getOutputStream().write(bytes);
      send(10);
      awaitRefusal(expected);
    }
  }

  /** A peer that knows the key, and then misbehaves. */
  private FrameStream insider(Socket socket, String name) throws Exception {
    FrameStream frames = new FrameStream(socket);
    Member member = TcpPeerTransportTest.member(name, 1, new HostPort("127.0.0.1", 1));
    PeerTransportSettings settings = PeerTransportSettings.of(new HostPort("127.0.0.1", 0), KEY);
    new Handshake(frames, settings, member, new SecureRandom(), MonotonicClock.system())
        .dial(a.self().id().name(), _ -> {});
    await("connection of " + name, () -> a.isConnected(member.id().name()));
    return frames;
  }

  private void insiderSends(byte[] bytes, ProtocolError expected) throws Exception {
    GatewayName name = new GatewayName("insider");
    try (Socket socket = connect()) {
      insider(socket, name.value());
      socket.getOutputStream().write(bytes);
      send(10);
      awaitRefusal(expected);
      await("end of the connection", () -> !a.isConnected(name));
      forgetDisconnects();
    }
  }

  @Test
  void lengthBombOfAStrangerIsRefused() throws Exception {
    strangerSends(new byte[] {0x7f, -1, -1, -1}, ProtocolError.FRAME_LENGTH);
  }

  @Test
  void negativeLengthIsRefused() throws Exception {
    strangerSends(new byte[] {-1, -1, -1, -1}, ProtocolError.FRAME_LENGTH);
  }

  @Test
  void otherProtocolIsRefused() throws Exception {
    strangerSends(
        "GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII), ProtocolError.FRAME_LENGTH);
  }

  @Test
  void garbageFrameIsRefused() throws Exception {
    strangerSends(frame((byte) 0xc1, (byte) 3), ProtocolError.MALFORMED);
  }

  @Test
  void otherVersionIsRefused() throws Exception {
    WireWriter hello = new WireWriter(new NameTable());
    hello.text("cowslipstair");
    hello.integer(Handshake.PROTOCOL_VERSION + 1);
    strangerSends(frame(hello.take()), ProtocolError.VERSION);
  }

  @Test
  void truncatedHandshakeIsRefused() throws Exception {
    try (Socket socket = connect()) {
      socket.getOutputStream().write(new byte[] {0, 0});
    }
    awaitRefusal(ProtocolError.TRUNCATED);
  }

  @Test
  void gatewayWithAnotherKeyIsRefused() throws Exception {
    byte[] otherKey = "another key of the same length".getBytes(StandardCharsets.UTF_8);
    try (TcpPeerTransport stranger = open("stranger", 1, otherKey)) {
      stranger.connectTo(Set.of(TcpPeerTransportTest.entryOf(a)));
      awaitRefusal(ProtocolError.NOT_AUTHENTICATED);
      assertThat(a.isConnected(new GatewayName("stranger")), is(false));
      assertThat(stranger.isConnected(new GatewayName("a")), is(false));
    }
  }

  @Test
  void slowHandshakesAreBoundedInTimeAndNumber() throws Exception {
    List<Socket> slow = new ArrayList<>();
    try {
      for (int i = 0; i < 8; i++) {
        Socket socket = connect();
        slow.add(socket);
        OutputStream out = socket.getOutputStream();
        out.write(new byte[] {0, 0, 1});
      }
      awaitRefusal(ProtocolError.TOO_MANY_HANDSHAKES);
      awaitRefusal(ProtocolError.SLOW_HANDSHAKE);
      try (TcpPeerTransport late = open("late", 1, KEY)) {
        late.connectTo(Set.of(TcpPeerTransportTest.entryOf(a)));
        TcpPeerTransportTest.awaitConnected(a, late);
      }
      await("end of it", () -> !a.isConnected(new GatewayName("late")));
      forgetDisconnects();
    } finally {
      for (Socket socket : slow) {
        socket.close();
      }
    }
  }

  @Test
  void unknownTypeOfAPeerEndsOnlyItsConnection() throws Exception {
    insiderSends(frame((byte) 100), ProtocolError.UNKNOWN_TYPE);
  }

  @Test
  void lengthBombOfAPeerEndsOnlyItsConnection() throws Exception {
    insiderSends(new byte[] {0x00, 0x02, 0, 0}, ProtocolError.FRAME_LENGTH);
  }

  @Test
  void frameThatEndsInsideAMessageEndsOnlyItsConnection() throws Exception {
    insiderSends(frame((byte) 64, (byte) 0xa5, (byte) 's'), ProtocolError.TRUNCATED);
  }

  @Test
  void peerThatDoesNotReadLosesItsConnectionAndNothingElseWaits() throws Exception {
    GatewayName name = new GatewayName("deaf");
    try (Socket socket = connect()) {
      insider(socket, name.value());
      StoredObject large =
          new StoredObject(
              new ObjectKey(ObjectKind.ZONE, "z"), 1, "c", false, "x".repeat(MAX_FRAME_BYTES / 2));
      for (int i = 0; i < 10_000 && a.isConnected(name); i++) {
        a.send(name, new ConfigObjects(new StoreId("s"), 0, 0, 1, 0, 1, List.of(), List.of(large)));
        send(i % 100 == 0 ? 1 : 0);
      }
      await("end of the connection", () -> !a.isConnected(name));
      assertThat(a.trafficByPeer().get(name).overflows(), greaterThan(0L));
      forgetDisconnects();
    }
  }

  @Test
  void olderProcessOfAConnectedNameIsRefusedAndTold() throws Exception {
    try (TcpPeerTransport older = open("b", 0, KEY)) {
      TestSubscriber<PeerEvent> atOlder = older.events().test();
      older.connectTo(Set.of(TcpPeerTransportTest.entryOf(a)));
      atOlder.awaitCount(1);

      assertThat(atOlder.values(), hasItem(new PeerTransport.PeerEvent.DuplicateName(b.self())));
    }
  }

  @Test
  void processThatDialsItsOwnNameIsReportedAtBothEnds() throws Exception {
    try (TcpPeerTransport namesake = open("a", 2, KEY)) {
      TestSubscriber<PeerEvent> there = namesake.events().test();
      namesake.connectTo(Set.of(TcpPeerTransportTest.entryOf(a)));
      there.awaitCount(1);

      assertThat(there.values(), hasItem(new PeerTransport.PeerEvent.DuplicateName(a.self())));
      await(
          "report",
          () -> events().contains(new PeerTransport.PeerEvent.DuplicateName(namesake.self())));
    }
  }

  @Test
  void closingDeliversWhatWasSentBefore() throws Exception {
    GatewayName name = new GatewayName("c");
    try (TcpPeerTransport c = open("c", 1, KEY)) {
      TestSubscriber<PeerMessage> atC = TcpPeerTransportTest.received(c);
      try (TcpPeerTransport d = open("d", 1, KEY)) {
        d.connectTo(Set.of(TcpPeerTransportTest.entryOf(c)));
        TcpPeerTransportTest.awaitConnected(c, d);
        for (int i = 0; i < 60; i++) {
          c.send(new GatewayName("d"), new ConfigRequest(new StoreId("s"), 0, i));
          d.send(name, new ConfigRequest(new StoreId("s"), 0, i));
        }
      }
      assertThat(atC.awaitCount(60).values().size(), is(60));
      assertThat(a.refusals().keySet(), empty());
    }
  }
}
