package org.cowslipstair.adapters.http;

/**
 * Limits of the connections to backend servers.
 *
 * @param connectTimeoutMs longest time to open a connection
 * @param idleConnectionMs time after which an unused connection is closed; shorter than the backend
 *     servers' own idle timeout
 * @param maxIdleConnections most unused connections to one backend server
 */
public record BackendLimits(long connectTimeoutMs, long idleConnectionMs, int maxIdleConnections) {
  private static final long DEFAULT_CONNECT_TIMEOUT_MS = 1_000;
  private static final long DEFAULT_IDLE_CONNECTION_MS = 4_000;
  private static final int DEFAULT_MAX_IDLE_CONNECTIONS = 64;

  /** Returns the default limits. */
  public static BackendLimits defaults() {
    return new BackendLimits(
        DEFAULT_CONNECT_TIMEOUT_MS, DEFAULT_IDLE_CONNECTION_MS, DEFAULT_MAX_IDLE_CONNECTIONS);
  }
}
