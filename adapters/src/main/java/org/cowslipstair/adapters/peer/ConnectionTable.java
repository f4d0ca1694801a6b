package org.cowslipstair.adapters.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.cowslipstair.adapters.peer.Handshake.Refusal;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.port.PeerTransport.PeerEvent;

/**
 * The open connections, one a peer. A newer process replaces an older one of its name. Where both
 * gateways dialled, the connection that the lower name dialled is kept.
 */
final class ConnectionTable {
  private final GatewayName self;
  private final Consumer<PeerEvent> events;
  private final Map<GatewayName, PeerConnection> connections = new HashMap<>();
  private boolean closed;

  ConnectionTable(GatewayName self, Consumer<PeerEvent> events) {
    this.self = self;
    this.events = events;
  }

  /** Returns why a new connection would not be taken, if so. */
  synchronized Optional<Refusal> check(Member peer, boolean dialledHere) {
    PeerConnection existing = connections.get(peer.id().name());
    if (existing == null) {
      return Optional.empty();
    }
    long current = existing.id().incarnation();
    if (peer.id().incarnation() < current) {
      return Optional.of(new Refusal(ProtocolError.SUPERSEDED, existing.peer()));
    }
    boolean sameDirection = existing.dialledHere() == dialledHere;
    if (peer.id().incarnation() > current || sameDirection || isPreferred(peer, dialledHere)) {
      return Optional.empty();
    }
    return Optional.of(new Refusal(ProtocolError.DUPLICATE, existing.peer()));
  }

  private boolean isPreferred(Member peer, boolean dialledHere) {
    boolean lowerName = self.compareTo(peer.id().name()) < 0;
    return lowerName == dialledHere;
  }

  /** Takes a connection, unless {@link #check} refuses it, and ends the one that it replaces. */
  synchronized Optional<Refusal> add(PeerConnection connection) {
    Optional<Refusal> refusal = check(connection.peer(), connection.dialledHere());
    if (closed || refusal.isPresent()) {
      connection.close();
      return refusal;
    }
    PeerConnection replaced = connections.put(connection.id().name(), connection);
    if (replaced != null) {
      replaced.close();
      events.accept(new PeerEvent.Disconnected(replaced.id()));
    }
    events.accept(new PeerEvent.Connected(connection.id()));
    return Optional.empty();
  }

  /** Removes a connection that ended; returns whether it was the current one. */
  synchronized boolean remove(PeerConnection connection) {
    if (!connections.remove(connection.id().name(), connection)) {
      return false;
    }
    events.accept(new PeerEvent.Disconnected(connection.id()));
    return true;
  }

  /** Returns whether a connection is the current one of its peer. */
  synchronized boolean isCurrent(PeerConnection connection) {
    return connections.get(connection.id().name()) == connection;
  }

  synchronized Optional<PeerConnection> find(GatewayName name) {
    return Optional.ofNullable(connections.get(name));
  }

  /** Takes no more connections, and returns those that are open. */
  synchronized List<PeerConnection> close() {
    closed = true;
    return new ArrayList<>(connections.values());
  }
}
