package org.cowslipstair.logic.relay;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.traffic.GatewayEntry;

/**
 * Names the gateways of a zone that watch the store: the first few in an order that all gateways of
 * the zone derive from the names alone. One that cannot be reached is passed over for a while.
 */
public final class WatcherRoles {
  /** Watchers of a zone; the second covers the loss of the first without a gap. */
  private static final int WATCHERS = 2;

  /** Time for which a gateway that could not be reached is passed over. */
  private static final long PASSED_OVER_NS = 10_000_000_000L;

  private final String self;
  private final ZoneName zone;
  private final Map<String, Long> passedOverUntilNs = new HashMap<>();

  /** Creates the roles as one gateway sees them. */
  public WatcherRoles(String self, ZoneName zone) {
    this.self = self;
    this.zone = zone;
  }

  /** Notes that a gateway could not be reached or has nothing fresh to tell. */
  public void unreachable(String gateway, long nowNs) {
    passedOverUntilNs.put(gateway, nowNs + PASSED_OVER_NS);
  }

  /** Notes that a gateway supplies again. */
  public void reachable(String gateway) {
    passedOverUntilNs.remove(gateway);
  }

  /** Returns the gateways of the zone that should watch the store now, this one included. */
  public List<GatewayEntry> watchers(List<GatewayEntry> gateways, long nowNs) {
    return ranked(
            gateways.stream()
                .filter(
                    gateway -> gateway.name().equals(self) || !isPassedOver(gateway.name(), nowNs)))
        .toList();
  }

  /** Returns whether this gateway is one of the watchers while none is passed over. */
  public boolean isFirstChoice(List<GatewayEntry> gateways) {
    return ranked(gateways.stream()).anyMatch(gateway -> gateway.name().equals(self));
  }

  private Stream<GatewayEntry> ranked(Stream<GatewayEntry> gateways) {
    return gateways
        .filter(gateway -> gateway.zone().equals(zone))
        .sorted(Comparator.comparingInt(WatcherRoles::order).thenComparing(GatewayEntry::name))
        .limit(WATCHERS);
  }

  /** Returns whether a gateway is passed over now. */
  public boolean isPassedOver(String gateway, long nowNs) {
    Long untilNs = passedOverUntilNs.get(gateway);
    return untilNs != null && nowNs < untilNs;
  }

  private static int order(GatewayEntry gateway) {
    return Hashing.murmur3_32_fixed().hashString(gateway.name(), StandardCharsets.UTF_8).asInt();
  }
}
