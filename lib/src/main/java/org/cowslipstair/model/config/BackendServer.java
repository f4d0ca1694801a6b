package org.cowslipstair.model.config;

/**
 * A configured backend server.
 *
 * @param slots number of calls that the backend server can execute concurrently
 * @param maxConnections maximum number of connections that the backend server accepts from all
 *     gateways together
 */
public record BackendServer(
    BackendName name, Labels labels, ZoneName zone, HostPort address, int slots, int maxConnections)
    implements ConfigObject {
  /** Returns whether an operator marked the backend server as leaving. */
  public boolean isLeaving() {
    return labels.has(Labels.STATE, Labels.STATE_LEAVING);
  }

  @Override
  public ObjectKey key() {
    return new ObjectKey(ObjectKind.BACKEND_SERVER, name.value());
  }
}
