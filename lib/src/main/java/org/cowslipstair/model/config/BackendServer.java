package org.cowslipstair.model.config;

/**
 * A backend server.
 *
 * @param slots number of calls that the backend server runs at once
 * @param maxConnections number of connections that the backend server accepts from all gateways
 */
public record BackendServer(
    BackendName name, Labels labels, ZoneName zone, HostPort address, int slots, int maxConnections)
    implements ConfigObject {
  /** Returns whether operators marked the backend server as leaving. */
  public boolean isLeaving() {
    return labels.has(Labels.STATE, Labels.STATE_LEAVING);
  }

  @Override
  public ObjectKey key() {
    return new ObjectKey(ObjectKind.BACKEND_SERVER, name.value());
  }
}
