package org.cowslipstair.adapters.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.reactivex.rxjava3.subscribers.TestSubscriber;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.StoreId;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.fleet.InstanceEntry;
import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.model.fleet.MemberState;
import org.cowslipstair.model.peer.ConfigMessage.ConfigRequest;
import org.cowslipstair.model.peer.PeerMessage;
import org.cowslipstair.port.MonotonicClock;
import org.cowslipstair.port.PeerTransport.PeerEvent;
import org.junit.jupiter.api.Test;

class TcpPeerTransportTest {
  private static final byte[] KEY = "a key of at least 16 bytes".getBytes(StandardCharsets.UTF_8);
  private static final ZoneName ZONE = new ZoneName("tz-north-a");

  static TcpPeerTransport open(String name, long incarnation) throws Exception {
    return TcpPeerTransport.open(
        PeerTransportSettings.of(new HostPort("127.0.0.1", 0), KEY),
        address -> member(name, incarnation, address),
        MonotonicClock.system());
  }

  static Member member(String name, long incarnation, HostPort address) {
    return new Member(
        new GatewayId(new GatewayName(name), incarnation), ZONE, address, MemberState.LIVE);
  }

  static InstanceEntry entryOf(TcpPeerTransport transport) {
    Member self = transport.self();
    return new InstanceEntry(
        self.id().name(), self.zone(), self.peerAddress(), self.peerAddress(), false);
  }

  @Test
  void bothDialAndMessagesArriveInOrderBothWays() throws Exception {
    try (TcpPeerTransport a = open("a", 1);
        TcpPeerTransport b = open("b", 1)) {
      TestSubscriber<PeerMessage> atA = received(a);
      TestSubscriber<PeerMessage> atB = received(b);
      a.connectTo(Set.of(entryOf(b)));
      b.connectTo(Set.of(entryOf(a)));
      awaitConnected(a, b);

      List<PeerMessage> messages =
          IntStream.range(0, 1_000)
              .<PeerMessage>mapToObj(i -> new ConfigRequest(new StoreId("s"), 0, i))
              .toList();
      messages.forEach(message -> a.send(new GatewayName("b"), message));
      messages.forEach(message -> b.send(new GatewayName("a"), message));

      assertThat(atA.awaitCount(1_000).values(), is(messages));
      assertThat(atB.awaitCount(1_000).values(), is(messages));
    }
  }

  static TestSubscriber<PeerMessage> received(TcpPeerTransport transport) {
    return transport
        .events()
        .ofType(PeerEvent.Received.class)
        .map(PeerEvent.Received::message)
        .test();
  }

  static void awaitConnected(TcpPeerTransport a, TcpPeerTransport b) throws Exception {
    long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    while (!(a.isConnected(b.self().id().name()) && b.isConnected(a.self().id().name()))) {
      assertThat("connected in time", System.nanoTime() < deadlineNs, is(true));
      Thread.sleep(5);
    }
  }
}
