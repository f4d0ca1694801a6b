package org.cowslipstair.port;

import io.reactivex.rxjava3.core.Flowable;
import java.util.Set;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.fleet.InstanceEntry;
import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.model.peer.PeerMessage;

/** Transports messages between gateways; each connection delivers in order and at most once. */
public interface PeerTransport extends AutoCloseable {
  /** Sends a message; drops it if no connection is open. Does not block. */
  void send(GatewayName to, PeerMessage message);

  /** Replaces the set of gateways to keep connections with. */
  void connectTo(Set<InstanceEntry> peers);

  /** Returns the events of all connections; supports a single subscriber. */
  Flowable<PeerEvent> events();

  @Override
  void close();

  /** An event on a connection. */
  sealed interface PeerEvent {
    /** A connection was opened and the peer was authenticated. */
    record Connected(GatewayId peer) implements PeerEvent {}

    /** A connection was closed. */
    record Disconnected(GatewayId peer) implements PeerEvent {}

    /** A message arrived. */
    record Received(GatewayId from, PeerMessage message) implements PeerEvent {}

    /** Another running process has the name of this one. */
    record DuplicateName(Member other) implements PeerEvent {}
  }
}
