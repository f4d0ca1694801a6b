package org.cowslipstair.logic.relay;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.traffic.GatewayEntry;

/**
 * Selects the gateways of a zone that watch the store: the first few in an order that every gateway
 * of the zone derives from the names alone. Unreachable gateways are skipped for a while. Not
 * thread-safe.
 */
public final class WatcherSelector {
  /** Watchers per zone; the second one covers the loss of the first without a gap. */
  private static final int WATCHERS_PER_ZONE = 2;

  /** Time for which an unreachable gateway is skipped. */
  private static final long SKIP_NS = 10_000_000_000L;

  private final String self;
  private final ZoneName zone;
  private final Map<String, Long> skippedUntilNs = new HashMap<>();
  private List<GatewayEntry> rankedSource = List.of();
  private List<GatewayEntry> ranked = List.of();

  private record Ranked(GatewayEntry gateway, int hash) {}

  /**
   * Creates a selector for one gateway.
   *
   * @param self name of this gateway
   * @param zone zone of this gateway
   */
  public WatcherSelector(String self, ZoneName zone) {
    this.self = self;
    this.zone = zone;
  }

  /**
   * Marks a gateway as unreachable or as having no current state, so that it is skipped for a
   * while.
   */
  public void markUnreachable(String gateway, long nowNs) {
    skippedUntilNs.put(gateway, nowNs + SKIP_NS);
  }

  /** Marks a gateway as supplying current state again. */
  public void markReachable(String gateway) {
    skippedUntilNs.remove(gateway);
  }

  /**
   * Returns the gateways of the zone that should watch the store now; may include this one.
   *
   * @param gateways all known gateways; the same list as before as long as nothing has changed
   */
  public List<GatewayEntry> watchers(List<GatewayEntry> gateways, long nowNs) {
    return ranked(gateways).stream()
        .filter(gateway -> gateway.name().equals(self) || !isSkipped(gateway.name(), nowNs))
        .limit(WATCHERS_PER_ZONE)
        .toList();
  }

  /** Returns whether this gateway is one of the watchers when no gateway is skipped. */
  public boolean isPreferredWatcher(List<GatewayEntry> gateways) {
    return ranked(gateways).stream()
        .limit(WATCHERS_PER_ZONE)
        .anyMatch(gateway -> gateway.name().equals(self));
  }

  /** The order is remembered, since hashing all names several times a second costs much. */
  private List<GatewayEntry> ranked(List<GatewayEntry> gateways) {
    if (gateways != rankedSource) {
      rankedSource = gateways;
      ranked =
          gateways.stream()
              .filter(gateway -> gateway.zone().equals(zone))
              .map(gateway -> new Ranked(gateway, orderHash(gateway)))
              .sorted(
                  Comparator.comparingInt(Ranked::hash)
                      .thenComparing(entry -> entry.gateway.name()))
              .map(Ranked::gateway)
              .toList();
    }
    return ranked;
  }

  /** Returns whether a gateway is skipped now. */
  public boolean isSkipped(String gateway, long nowNs) {
    Long untilNs = skippedUntilNs.get(gateway);
    return untilNs != null && nowNs < untilNs;
  }

  private static int orderHash(GatewayEntry gateway) {
    return Hashing.murmur3_32_fixed().hashString(gateway.name(), StandardCharsets.UTF_8).asInt();
  }
}
