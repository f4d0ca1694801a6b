package org.cowslipstair.port;

import io.reactivex.rxjava3.core.Flowable;
import java.util.Set;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.fleet.InstanceEntry;
import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.model.peer.PeerMessage;

/** Carries messages between gateways, in order and at most once per connection. */
public interface PeerTransport extends AutoCloseable {
  /** Sends a message; drops it when no connection is open. Never blocks. */
  void send(GatewayName to, PeerMessage message);

  /** Replaces the set of gateways to keep a connection with. */
  void connectTo(Set<InstanceEntry> peers);

  /** Returns the events of all connections; one subscriber. */
  Flowable<PeerEvent> events();

  @Override
  void close();

  /** What happens on a connection. */
  sealed interface PeerEvent {
    /** A connection is open and the peer is authenticated. */
    record Connected(GatewayId peer) implements PeerEvent {}

    /** A connection has ended. */
    record Disconnected(GatewayId peer) implements PeerEvent {}

    /** A message arrived. */
    record Received(GatewayId from, PeerMessage message) implements PeerEvent {}

    /** Another process runs under the name of this one. */
    record Namesake(Member other) implements PeerEvent {}
  }
}
