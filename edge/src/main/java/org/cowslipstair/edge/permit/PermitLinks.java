package org.cowslipstair.edge.permit;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.port.MonotonicClock;

/**
 * Links to the gateways that issue permits, opened when they are needed. Knows which gateways have
 * been found unreachable. Confined to its event loop.
 */
final class PermitLinks {
  /** Time between attempts to reach an unreachable gateway. */
  private static final long RECONNECT_DELAY_NS = 1_000_000_000L;

  private static final long CHECK_INTERVAL_MS = 250;

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final Function<String, Optional<HostPort>> addresses;
  private final Consumer<PermitMessage> onMessage;
  private final Map<String, PermitLink> links = new HashMap<>();
  private final Map<String, Long> reconnectAtNs = new HashMap<>();
  private final Set<String> unreachableGateways = new HashSet<>();
  private boolean isCheckScheduled;

  /**
   * Creates links that are not open.
   *
   * @param addresses returns the address of a gateway; empty if it is unknown
   * @param onMessage receives the messages of all links
   */
  PermitLinks(
      EventLoop loop,
      MonotonicClock clock,
      Function<String, Optional<HostPort>> addresses,
      Consumer<PermitMessage> onMessage) {
    this.loop = loop;
    this.clock = clock;
    this.addresses = addresses;
    this.onMessage = onMessage;
  }

  /**
   * Returns whether a gateway has been found unreachable and has not responded since. One that has
   * not been tried is not unreachable.
   */
  boolean isUnreachable(String gateway) {
    return unreachableGateways.contains(gateway);
  }

  /** Returns the link to a gateway; empty if it is not open. */
  Optional<PermitLink> find(String gateway) {
    return Optional.ofNullable(links.get(gateway));
  }

  /**
   * Returns the link to a gateway and opens it if necessary; empty if its address is unknown or it
   * is too early to try again.
   */
  Optional<PermitLink> open(String gateway) {
    PermitLink existing = links.get(gateway);
    if (existing != null) {
      return Optional.of(existing);
    }
    long nowNs = clock.nowNs();
    Optional<HostPort> address = addresses.apply(gateway);
    if (address.isEmpty() || nowNs - reconnectAtNs.getOrDefault(gateway, nowNs) < 0) {
      return Optional.empty();
    }
    PermitLink link =
        new PermitLink(
            clock,
            new PermitLink.Listener() {
              @Override
              public void onMessage(PermitMessage message) {
                unreachableGateways.remove(gateway);
                onMessage.accept(message);
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
    scheduleCheck();
    return Optional.of(link);
  }

  private void scheduleCheck() {
    if (!isCheckScheduled) {
      isCheckScheduled = true;
      loop.schedule(this::checkAll, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void checkAll() {
    isCheckScheduled = false;
    long nowNs = clock.nowNs();
    for (Map.Entry<String, PermitLink> entry : List.copyOf(links.entrySet())) {
      if (!entry.getValue().check(nowNs)) {
        links.remove(entry.getKey());
      }
    }
    if (!links.isEmpty()) {
      scheduleCheck();
    }
  }
}
