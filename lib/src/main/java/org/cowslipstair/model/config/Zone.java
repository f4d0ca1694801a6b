package org.cowslipstair.model.config;

/** An availability zone. */
public record Zone(ZoneName name, Labels labels) implements ConfigObject {
  /** Returns whether an operator took the zone out of service. */
  public boolean isOut() {
    return labels.has(Labels.STATE, Labels.STATE_OUT);
  }

  @Override
  public ObjectKey key() {
    return new ObjectKey(ObjectKind.ZONE, name.value());
  }
}
