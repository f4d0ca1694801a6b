package org.cowslipstair.model.fleet;

/**
 * One process life of a gateway.
 *
 * @param incarnation rises with each start of a gateway of this name
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
