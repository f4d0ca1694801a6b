package org.cowslipstair.soak.net;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** A TCP proxy on loopback whose link can be made slow, one way, silent, or cut. */
public final class FaultyLink implements AutoCloseable {
  private static final int BACKLOG = 256;
  private static final int BUFFER_BYTES = 16 * 1024;
  private static final long DELAY_MS = 150;

  private final int targetPort;
  private final ServerSocket server;
  private final Set<Pair> pairs = ConcurrentHashMap.newKeySet();
  private volatile Condition condition = Condition.GOOD;

  /** What the link does to bytes. */
  public enum Condition {
    /** Passes them on. */
    GOOD,
    /** Passes them on later. */
    SLOW,
    /** Loses those toward the one who connected. */
    ONE_WAY,
    /** Loses all. */
    SILENT,
    /** Resets every connection. */
    RESET
  }

  private final class Pair {
    private final Socket near;
    private final Socket far;

    /** Bytes were lost, so nothing may follow them. */
    private volatile boolean nearIsDead;

    private volatile boolean farIsDead;

    Pair(Socket near, Socket far) {
      this.near = near;
      this.far = far;
    }

    void close() {
      closeQuietly(near);
      closeQuietly(far);
      pairs.remove(this);
    }
  }

  /** Opens a link to a port on loopback. */
  public FaultyLink(int targetPort) throws IOException {
    this.targetPort = targetPort;
    this.server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::accept);
  }

  /** Returns the port to connect to. */
  public int port() {
    return server.getLocalPort();
  }

  /** Changes what the link does. */
  public void set(Condition newer) {
    condition = newer;
    if (newer == Condition.RESET) {
      pairs.forEach(
          pair -> {
            linger(pair.near);
            pair.close();
          });
    }
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket near = server.accept();
        if (condition == Condition.RESET) {
          linger(near);
          near.close();
          continue;
        }
        Thread.ofVirtual().start(() -> join(near));
      } catch (IOException ignored) {
        // The link was closed, or the peer has left already.
      }
    }
  }

  private void join(Socket near) {
    try {
      Pair pair = new Pair(near, new Socket(InetAddress.getLoopbackAddress(), targetPort));
      near.setTcpNoDelay(true);
      pair.far.setTcpNoDelay(true);
      pairs.add(pair);
      Thread.ofVirtual().start(() -> pump(pair, true));
      pump(pair, false);
    } catch (IOException e) {
      linger(near);
      closeQuietly(near);
    }
  }

  private void pump(Pair pair, boolean towardFar) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      InputStream in = (towardFar ? pair.near : pair.far).getInputStream();
      OutputStream out = (towardFar ? pair.far : pair.near).getOutputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        if (isLost(pair, towardFar)) {
          continue;
        }
        if (condition == Condition.SLOW) {
          TimeUnit.MILLISECONDS.sleep(DELAY_MS);
        }
        out.write(buffer, 0, count);
      }
    } catch (IOException ignored) {
      // One end has closed; the other follows.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    boolean isSilent = towardFar ? pair.farIsDead : pair.nearIsDead;
    if (!isSilent) {
      pair.close();
    }
  }

  private boolean isLost(Pair pair, boolean towardFar) {
    Condition now = condition;
    boolean loses = now == Condition.SILENT || now == Condition.ONE_WAY && !towardFar;
    if (towardFar) {
      pair.farIsDead |= loses;
      return pair.farIsDead;
    }
    pair.nearIsDead |= loses;
    return pair.nearIsDead;
  }

  private static void linger(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
    } catch (IOException ignored) {
      // It is closed already.
    }
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException ignored) {
      // Nothing more can be done.
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    pairs.forEach(Pair::close);
  }
}
