package org.cowslipstair.edge.backend;

import java.util.ArrayDeque;
import java.util.Deque;
import org.cowslipstair.edge.http.ServerConnection;
import org.cowslipstair.logic.placement.BackendRecord;
import org.jspecify.annotations.Nullable;

/** One backend instance with its idle connections. Lives on the event loop. */
public final class BackendEntry {
  /** Part of the time a server keeps idle connections after which they are not used any more. */
  private static final double KEEP_ALIVE_PART = 0.8;

  private static final long NS_PER_MS = 1_000_000L;

  private final BackendRecord record;
  private final Deque<ServerConnection> idle = new ArrayDeque<>();
  private int open;
  private boolean gone;

  /** Creates an entry without connections. */
  BackendEntry(BackendRecord record) {
    this.record = record;
  }

  /** Returns what is known of the backend instance. */
  public BackendRecord record() {
    return record;
  }

  /** Returns the open connections and those being opened. */
  public int open() {
    return open;
  }

  void opening() {
    open++;
  }

  void closed() {
    open--;
  }

  /** Takes the idle connection that was used last. */
  @Nullable ServerConnection takeIdle(long nowNs) {
    while (true) {
      ServerConnection connection = idle.pollFirst();
      if (connection == null) {
        return null;
      }
      double limitNs = (double) connection.keepAliveMs() * NS_PER_MS * KEEP_ALIVE_PART;
      if (connection.isReusable() && nowNs - connection.idleSinceNs() < limitNs) {
        return connection;
      }
      connection.close();
    }
  }

  /** Returns whether there is an idle connection. */
  public boolean hasIdle() {
    return !idle.isEmpty();
  }

  /** Gives a connection back. */
  void giveBack(ServerConnection connection, long nowNs) {
    if (gone || !connection.isReusable()) {
      connection.close();
      return;
    }
    connection.idleSince(nowNs);
    idle.addFirst(connection);
  }

  /** Forgets a connection that is gone. */
  void remove(ServerConnection connection) {
    idle.remove(connection);
  }

  /** Closes the idle connections; those in use are closed when they are given back. */
  void retire() {
    gone = true;
    idle.forEach(ServerConnection::close);
    idle.clear();
  }
}
