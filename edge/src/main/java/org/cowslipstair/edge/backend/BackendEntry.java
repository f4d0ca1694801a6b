package org.cowslipstair.edge.backend;

import java.util.ArrayDeque;
import java.util.Deque;
import org.cowslipstair.edge.http.ServerConnection;
import org.cowslipstair.logic.placement.BackendStats;
import org.cowslipstair.logic.placement.CandidateOrder;
import org.jspecify.annotations.Nullable;

/** One backend instance with its idle connections. Used on the event loop only. */
public final class BackendEntry implements CandidateOrder.Candidate {
  /** Share of a server's keep-alive timeout after which an idle connection is no longer used. */
  private static final double KEEP_ALIVE_SHARE = 0.8;

  private static final long NS_PER_MS = 1_000_000L;

  private final BackendStats stats;
  private final Deque<ServerConnection> idleConnections = new ArrayDeque<>();
  private int openConnections;
  private boolean retired;

  /** Creates an entry without connections. */
  BackendEntry(BackendStats stats) {
    this.stats = stats;
  }

  /** Returns the statistics of the backend instance. */
  @Override
  public BackendStats stats() {
    return stats;
  }

  /** Returns the number of connections that are open or being opened. */
  public int openConnections() {
    return openConnections;
  }

  void onConnectionOpening() {
    openConnections++;
  }

  void onConnectionClosed() {
    openConnections--;
  }

  /**
   * Removes and returns the most recently used idle connection that can be reused; null if there is
   * none.
   */
  @Nullable ServerConnection pollIdleConnection(long nowNs) {
    while (true) {
      ServerConnection connection = idleConnections.pollFirst();
      if (connection == null) {
        return null;
      }
      double limitNs = (double) connection.keepAliveMs() * NS_PER_MS * KEEP_ALIVE_SHARE;
      if (connection.isReusable() && nowNs - connection.idleSinceNs() < limitNs) {
        return connection;
      }
      connection.close();
    }
  }

  /** Returns whether there is an idle connection. */
  @Override
  public boolean hasIdleConnection() {
    return !idleConnections.isEmpty();
  }

  /** Returns a connection to the idle connections, or closes it if it cannot be reused. */
  void release(ServerConnection connection, long nowNs) {
    if (retired || !connection.isReusable()) {
      connection.close();
      return;
    }
    connection.markIdle(nowNs);
    idleConnections.addFirst(connection);
  }

  /** Removes a closed connection. */
  void removeIdleConnection(ServerConnection connection) {
    idleConnections.remove(connection);
  }

  /** Closes the idle connections; those in use are closed when they are released. */
  void retire() {
    retired = true;
    idleConnections.forEach(ServerConnection::close);
    idleConnections.clear();
  }
}
