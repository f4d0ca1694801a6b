package org.cowslipstair.adapters.peer;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.processors.FlowableProcessor;
import io.reactivex.rxjava3.processors.UnicastProcessor;
import io.reactivex.rxjava3.schedulers.Schedulers;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.security.SecureRandom;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.Semaphore;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.cowslipstair.adapters.peer.Handshake.Refusal;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.fleet.InstanceEntry;
import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.model.peer.PeerMessage;
import org.cowslipstair.port.MonotonicClock;
import org.cowslipstair.port.PeerTransport;
import org.cowslipstair.port.PeerTransport.PeerEvent;
import org.jboss.logging.Logger;

/**
 * Carries messages between gateways over TCP: one connection a pair, frames of MessagePack, both
 * ends authenticated by a shared key.
 */
public final class TcpPeerTransport implements PeerTransport {
  private static final Logger LOG = Logger.getLogger(TcpPeerTransport.class);
  private static final int BACKLOG = 256;
  private static final long CLOSE_TIMEOUT_MS = 1_000;
  private static final long ACCEPT_RETRY_MS = 100;

  private final PeerTransportSettings settings;
  private final MonotonicClock clock;
  private final RandomGenerator random;
  private final ServerSocket server;
  private final Member self;
  private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
  private final FlowableProcessor<PeerEvent> events =
      UnicastProcessor.<PeerEvent>create().toSerialized();
  private final ConnectionTable connections;
  private final Dialler dialler;
  private final RefusalLog refusals;
  private final Semaphore handshakes;
  private final Map<GatewayName, TrafficCounter> traffic = new ConcurrentHashMap<>();

  /**
   * Opens the listener.
   *
   * @param self makes this gateway's identity from the address that it listens on
   */
  public static TcpPeerTransport open(
      PeerTransportSettings settings, Function<HostPort, Member> self, MonotonicClock clock)
      throws IOException {
    return open(settings, self, clock, new SecureRandom());
  }

  static TcpPeerTransport open(
      PeerTransportSettings settings,
      Function<HostPort, Member> self,
      MonotonicClock clock,
      RandomGenerator random)
      throws IOException {
    ServerSocket server = new ServerSocket();
    HostPort address = settings.listenAddress();
    try {
      server.bind(
          new InetSocketAddress(InetAddress.getByName(address.host()), address.port()), BACKLOG);
    } catch (IOException e) {
      server.close();
      throw e;
    }
    HostPort bound = new HostPort(address.host(), server.getLocalPort());
    TcpPeerTransport transport =
        new TcpPeerTransport(settings, self.apply(bound), server, clock, random);
    transport.threads.execute(transport::acceptAll);
    return transport;
  }

  private TcpPeerTransport(
      PeerTransportSettings settings,
      Member self,
      ServerSocket server,
      MonotonicClock clock,
      RandomGenerator random) {
    this.settings = settings;
    this.self = self;
    this.server = server;
    this.clock = clock;
    this.random = random;
    this.connections = new ConnectionTable(self.id().name(), events::onNext);
    this.dialler = new Dialler(self.id().name(), Schedulers.from(threads), random, this::dial);
    this.refusals = new RefusalLog(clock);
    this.handshakes = new Semaphore(settings.maxHandshakes());
  }

  /** Returns this gateway as its peers know it, with the address that it listens on. */
  public Member self() {
    return self;
  }

  /** Returns the traffic with each peer. */
  public Map<GatewayName, PeerTraffic> trafficByPeer() {
    Map<GatewayName, PeerTraffic> byPeer = new ConcurrentHashMap<>();
    traffic.forEach((peer, counter) -> byPeer.put(peer, TrafficCounter.sum(List.of(counter))));
    return byPeer;
  }

  /** Returns the traffic with all peers. */
  public PeerTraffic traffic() {
    return TrafficCounter.sum(traffic.values());
  }

  /** Returns how many connections and handshakes were refused, by cause. */
  public Map<ProtocolError, Long> refusals() {
    return refusals.counts();
  }

  @Override
  public void send(GatewayName to, PeerMessage message) {
    Optional<PeerConnection> connection = connections.find(to);
    if (connection.isPresent()) {
      connection.get().send(message);
    } else {
      trafficWith(to).dropped();
    }
  }

  boolean isConnected(GatewayName peer) {
    return connections.find(peer).isPresent();
  }

  private TrafficCounter trafficWith(GatewayName peer) {
    return traffic.computeIfAbsent(peer, _ -> new TrafficCounter());
  }

  @Override
  public void connectTo(Set<InstanceEntry> peers) {
    dialler.setTargets(peers);
  }

  @Override
  public Flowable<PeerEvent> events() {
    return events;
  }

  private void acceptAll() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        if (handshakes.tryAcquire()) {
          threads.execute(() -> acceptOne(socket));
        } else {
          refuse(
              socket,
              new ProtocolException(
                  ProtocolError.TOO_MANY_HANDSHAKES, "too many connections in their handshake"));
        }
      } catch (IOException e) {
        pauseAccepting(e);
      } catch (RejectedExecutionException expected) {
        return; // The transport is closing.
      }
    }
  }

  /** Waits a little, as when the process is out of file descriptors. */
  private void pauseAccepting(IOException cause) {
    if (server.isClosed()) {
      return;
    }
    LOG.warnf("peer: cannot accept: %s", cause.getMessage());
    try {
      Thread.sleep(ACCEPT_RETRY_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void acceptOne(Socket socket) {
    Optional<PeerConnection> connection = Optional.empty();
    try {
      FrameStream frames = prepare(socket);
      Handshake handshake = new Handshake(frames, settings, self, random, clock);
      connection =
          handshake.accept(this::checkAccepted).map(peer -> newConnection(frames, peer, false));
    } catch (IOException ignored) {
      close(socket);
    } catch (ProtocolException e) {
      refuse(socket, e);
    } finally {
      handshakes.release();
    }
    if (connection.isPresent()) {
      run(connection.get());
    } else {
      close(socket);
    }
  }

  private Optional<Refusal> checkAccepted(Member peer) {
    if (peer.id().name().equals(self.id().name())) {
      reportDuplicateName(peer);
      return Optional.of(new Refusal(ProtocolError.SUPERSEDED, self));
    }
    return connections.check(peer, false);
  }

  private void reportDuplicateName(Member other) {
    if (other.id().incarnation() != self.id().incarnation()) {
      events.onNext(new PeerTransport.PeerEvent.DuplicateName(other));
    }
  }

  private boolean dial(InstanceEntry entry) {
    if (connections.find(entry.name()).isPresent()) {
      return true;
    }
    Socket socket = new Socket();
    try {
      HostPort address = entry.peerAddress();
      socket.connect(
          new InetSocketAddress(InetAddress.getByName(address.host()), address.port()),
          settings.handshakeTimeoutMs());
      FrameStream frames = prepare(socket);
      Handshake handshake = new Handshake(frames, settings, self, random, clock);
      Member peer = handshake.dial(entry.name(), this::reportDuplicateName);
      PeerConnection connection = newConnection(frames, peer, true);
      threads.execute(() -> run(connection));
      return true;
    } catch (IOException ignored) {
      close(socket);
    } catch (ProtocolException e) {
      if (e.error() == ProtocolError.DUPLICATE) {
        close(socket);
      } else {
        refuse(socket, e);
      }
    }
    return false;
  }

  private static FrameStream prepare(Socket socket) throws IOException {
    socket.setTcpNoDelay(true);
    return new FrameStream(socket);
  }

  private PeerConnection newConnection(FrameStream frames, Member peer, boolean dialledHere) {
    return new PeerConnection(frames, settings, peer, dialledHere, trafficWith(peer.id().name()));
  }

  private void run(PeerConnection connection) {
    if (connections.add(connection).isPresent()) {
      return;
    }
    Thread writer = Thread.ofVirtual().start(connection::runWriter);
    try {
      connection.runReader(message -> receive(connection, message));
    } catch (IOException ignored) {
      connection.close();
    } catch (ProtocolException e) {
      refusals.refused(connection.id().toString(), e);
    } finally {
      writer.interrupt();
      if (connections.remove(connection)) {
        dialler.onDisconnected(connection.id().name());
      }
    }
  }

  private void receive(PeerConnection connection, PeerMessage message) {
    if (connections.isCurrent(connection)) {
      events.onNext(new PeerEvent.Received(connection.id(), message));
    }
  }

  private void refuse(Socket socket, ProtocolException reason) {
    refusals.refused(String.valueOf(socket.getRemoteSocketAddress()), reason);
    close(socket);
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException ignored) {
      // Nothing is left to release.
    }
  }

  @Override
  public void close() {
    dialler.close();
    try {
      server.close();
    } catch (IOException e) {
      LOG.warnf("peer: cannot close the listener: %s", e.getMessage());
    }
    List<PeerConnection> open = connections.close();
    open.forEach(PeerConnection::closeAfterWriting);
    try {
      for (PeerConnection connection : open) {
        connection.awaitEnd(CLOSE_TIMEOUT_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    threads.shutdown();
    events.onComplete();
  }
}
