package org.cowslipstair.edge.peer;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.cowslipstair.edge.loop.RepeatedTask;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.port.MonotonicClock;

/**
 * Exchanges frames with the other gateways for several services. Links are opened when they are
 * needed; knows which gateways have been found unreachable. Confined to its event loop.
 */
public final class PeerNetwork implements PeerFrameHandler {
  /** Time between attempts to reach an unreachable gateway. */
  private static final long RECONNECT_DELAY_NS = 250_000_000L;

  private static final long CHECK_INTERVAL_MS = 250;

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final Function<String, Optional<HostPort>> addresses;
  private final List<Service> services = new ArrayList<>();
  private final Map<String, PeerLink> links = new HashMap<>();
  private final Map<String, Long> reconnectAtNs = new HashMap<>();
  private final Set<String> unreachableGateways = new HashSet<>();
  private boolean isChecking;

  /** A service that exchanges frames with the same service of other gateways. */
  public interface Service {
    /** Returns whether a frame belongs to this service. */
    boolean owns(byte[] frame);

    /**
     * Returns the response to the frame of another gateway; empty if there is none.
     *
     * @throws IOException if the frame is malformed; the connection is closed then
     */
    Optional<byte[]> onFrame(byte[] frame) throws IOException;

    /**
     * Handles a response of another gateway.
     *
     * @throws IOException if the frame is malformed; the link is given up then
     */
    void onResponse(String gateway, byte[] frame) throws IOException;
  }

  /**
   * Creates a network without links.
   *
   * @param addresses returns the address of a gateway; empty if it is unknown
   */
  public PeerNetwork(
      EventLoop loop, MonotonicClock clock, Function<String, Optional<HostPort>> addresses) {
    this.loop = loop;
    this.clock = clock;
    this.addresses = addresses;
  }

  /** Adds a service. */
  public void register(Service service) {
    services.add(service);
  }

  @Override
  public Optional<byte[]> onFrame(byte[] frame) throws IOException {
    if (PeerFrames.isPing(frame)) {
      return Optional.of(PeerFrames.pong());
    }
    return service(frame).onFrame(frame);
  }

  private Service service(byte[] frame) throws IOException {
    return services.stream()
        .filter(service -> service.owns(frame))
        .findFirst()
        .orElseThrow(() -> new IOException("frame of an unknown service"));
  }

  /**
   * Returns whether a gateway has been found unreachable and has not responded since. One that has
   * not been tried is not unreachable.
   */
  public boolean isUnreachable(String gateway) {
    return unreachableGateways.contains(gateway);
  }

  /**
   * Returns the link to a gateway and opens it if necessary; empty if its address is unknown or it
   * is too early to try again.
   */
  public Optional<PeerLink> open(String gateway) {
    PeerLink existing = links.get(gateway);
    if (existing != null) {
      return Optional.of(existing);
    }
    long nowNs = clock.nowNs();
    Optional<HostPort> address = addresses.apply(gateway);
    if (address.isEmpty() || nowNs - reconnectAtNs.getOrDefault(gateway, nowNs) < 0) {
      return Optional.empty();
    }
    PeerLink link =
        new PeerLink(
            clock,
            new PeerLink.Listener() {
              @Override
              public void onFrame(byte[] frame) throws IOException {
                unreachableGateways.remove(gateway);
                if (!PeerFrames.isPong(frame)) {
                  service(frame).onResponse(gateway, frame);
                }
              }

              @Override
              public void onLost() {
                links.remove(gateway);
                unreachableGateways.add(gateway);
                reconnectAtNs.put(gateway, clock.nowNs() + RECONNECT_DELAY_NS);
              }
            });
    links.put(gateway, link);
    link.open(loop, address.get());
    startChecks();
    return Optional.of(link);
  }

  private void startChecks() {
    if (!isChecking) {
      isChecking = true;
      RepeatedTask.start(loop, "peers", this::checkAll);
    }
  }

  private long checkAll() {
    long nowNs = clock.nowNs();
    for (Map.Entry<String, PeerLink> entry : List.copyOf(links.entrySet())) {
      if (!entry.getValue().check(nowNs)) {
        links.remove(entry.getKey());
      }
    }
    return CHECK_INTERVAL_MS;
  }
}
