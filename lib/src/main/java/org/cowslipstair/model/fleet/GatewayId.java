package org.cowslipstair.model.fleet;

/**
 * Identifies one process of a gateway.
 *
 * @param incarnation increases with each start of a gateway with this name
 */
public record GatewayId(GatewayName name, long incarnation) implements Comparable<GatewayId> {
  @Override
  public int compareTo(GatewayId other) {
    int byName = name.compareTo(other.name);
    return byName != 0 ? byName : Long.compare(incarnation, other.incarnation);
  }

  @Override
  public String toString() {
    return name + "#" + incarnation;
  }
}
