package org.cowslipstair.adapters.http;

import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cowslipstair.port.MonotonicClock;
import org.eclipse.jetty.io.NetworkTrafficListener;
import org.jboss.logging.Logger;

/**
 * Closes connections of callers whose bytes never become a request: a head that does not end in
 * time, or bytes between those of a body, such as extensions of chunks, that do not end at all. The
 * HTTP library bounds the size of a head and the silence on a connection, but neither of these.
 */
final class CallerBytesWatch implements NetworkTrafficListener {
  private static final Logger LOG = Logger.getLogger(CallerBytesWatch.class);
  private static final long SWEEP_INTERVAL_MS = 250;
  private static final long NS_PER_MS = 1_000_000;

  /** Maximum number of bytes that are read ahead, or frame the chunks of a body. */
  private static final long MAX_BYTES_WITHOUT_PROGRESS = 256 * 1024;

  private final long headTimeoutNs;
  private final MonotonicClock clock;
  private final Map<Socket, Caller> callers = new ConcurrentHashMap<>();
  private final Thread sweeper;

  CallerBytesWatch(long headTimeoutMs, MonotonicClock clock) {
    this.headTimeoutNs = headTimeoutMs * NS_PER_MS;
    this.clock = clock;
    this.sweeper = Thread.ofVirtual().name("caller-bytes-watch").unstarted(this::sweep);
  }

  void start() {
    sweeper.start();
  }

  void stop() {
    sweeper.interrupt();
  }

  @Override
  public void opened(Socket socket) {
    callers.put(socket, new Caller(socket));
  }

  @Override
  public void incoming(Socket socket, ByteBuffer bytes) {
    Caller caller = callers.get(socket);
    if (caller != null) {
      caller.onBytes(bytes.remaining());
    }
  }

  @Override
  public void closed(Socket socket) {
    callers.remove(socket);
  }

  /** Returns the caller of a connection; one that is closed already gets a new one. */
  Caller caller(Socket socket) {
    return callers.getOrDefault(socket, new Caller(socket));
  }

  private void sweep() {
    try {
      while (true) {
        Thread.sleep(SWEEP_INTERVAL_MS);
        long nowNs = clock.nowNs();
        callers.values().forEach(caller -> caller.closeIfHeadIsLate(nowNs));
      }
    } catch (InterruptedException _) {
      // The server was stopped.
    }
  }

  /** One connection of a caller. */
  final class Caller {
    private final Socket socket;
    private boolean isHeadPending;
    private boolean isInRequest;
    private long headDeadlineNs;
    private long bytesWithoutProgress;

    private Caller(Socket socket) {
      this.socket = socket;
    }

    private synchronized void onBytes(int count) {
      bytesWithoutProgress += count;
      if (!isInRequest && !isHeadPending) {
        isHeadPending = true;
        headDeadlineNs = clock.nowNs() + headTimeoutNs;
      }
      if (bytesWithoutProgress > MAX_BYTES_WITHOUT_PROGRESS) {
        close("bytes that become no request");
      }
    }

    /** A head has been read whole. */
    synchronized void onRequestBegun() {
      isInRequest = true;
      isHeadPending = false;
      bytesWithoutProgress = 0;
    }

    /** Bytes of a body have been read. */
    synchronized void onBodyBytes() {
      bytesWithoutProgress = 0;
    }

    /** The response has been written. */
    synchronized void onRequestEnded() {
      isInRequest = false;
      bytesWithoutProgress = 0;
    }

    private synchronized void closeIfHeadIsLate(long nowNs) {
      if (isHeadPending && nowNs - headDeadlineNs >= 0) {
        close("head did not end in time");
      }
    }

    private void close(String reason) {
      LOG.debugf("caller: connection from %s closed: %s", socket.getRemoteSocketAddress(), reason);
      try {
        socket.close();
      } catch (IOException e) {
        LOG.debugf("caller: failed to close: %s", e.getMessage());
      }
    }
  }
}
