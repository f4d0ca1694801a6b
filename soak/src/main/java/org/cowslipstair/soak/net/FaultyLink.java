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

/** A TCP proxy on loopback that can delay bytes, drop them, or reset connections. */
public final class FaultyLink implements AutoCloseable {
  private static final int BACKLOG = 256;
  private static final int BUFFER_BYTES = 16 * 1024;
  private static final long DELAY_MS = 150;

  private final int targetPort;
  private final ServerSocket serverSocket;
  private final Set<ConnectionPair> pairs = ConcurrentHashMap.newKeySet();
  private volatile Condition condition = Condition.GOOD;

  /** Condition of the link. */
  public enum Condition {
    /** Forwards all bytes. */
    GOOD,
    /** Forwards all bytes with a delay. */
    SLOW,
    /** Drops bytes from the target to the client. */
    ONE_WAY,
    /** Drops all bytes. */
    SILENT,
    /** Resets every connection. */
    RESET
  }

  private final class ConnectionPair {
    private final Socket clientSocket;
    private final Socket targetSocket;

    /** Once bytes were dropped, no later bytes may be forwarded in that direction. */
    private volatile boolean hasLostBytesToClient;

    private volatile boolean hasLostBytesToTarget;

    ConnectionPair(Socket clientSocket, Socket targetSocket) {
      this.clientSocket = clientSocket;
      this.targetSocket = targetSocket;
    }

    void close() {
      closeQuietly(clientSocket);
      closeQuietly(targetSocket);
      pairs.remove(this);
    }
  }

  /** Opens a proxy to a port on loopback. */
  public FaultyLink(int targetPort) throws IOException {
    this.targetPort = targetPort;
    this.serverSocket = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::acceptConnections);
  }

  /** Returns the port to connect to. */
  public int port() {
    return serverSocket.getLocalPort();
  }

  /** Changes the condition of the link. */
  public void setCondition(Condition newCondition) {
    condition = newCondition;
    if (newCondition == Condition.RESET) {
      pairs.forEach(
          pair -> {
            resetOnClose(pair.clientSocket);
            pair.close();
          });
    }
  }

  private void acceptConnections() {
    while (!serverSocket.isClosed()) {
      try {
        Socket clientSocket = serverSocket.accept();
        if (condition == Condition.RESET) {
          resetOnClose(clientSocket);
          clientSocket.close();
          continue;
        }
        Thread.ofVirtual().start(() -> connectPair(clientSocket));
      } catch (IOException ignored) {
        // The link was closed, or the client has already disconnected.
      }
    }
  }

  private void connectPair(Socket clientSocket) {
    try {
      ConnectionPair pair =
          new ConnectionPair(
              clientSocket, new Socket(InetAddress.getLoopbackAddress(), targetPort));
      clientSocket.setTcpNoDelay(true);
      pair.targetSocket.setTcpNoDelay(true);
      pairs.add(pair);
      Thread.ofVirtual().start(() -> forwardBytes(pair, true));
      forwardBytes(pair, false);
    } catch (IOException e) {
      resetOnClose(clientSocket);
      closeQuietly(clientSocket);
    }
  }

  private void forwardBytes(ConnectionPair pair, boolean isTowardTarget) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      InputStream in = (isTowardTarget ? pair.clientSocket : pair.targetSocket).getInputStream();
      OutputStream out = (isTowardTarget ? pair.targetSocket : pair.clientSocket).getOutputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        if (dropsBytes(pair, isTowardTarget)) {
          continue;
        }
        if (condition == Condition.SLOW) {
          TimeUnit.MILLISECONDS.sleep(DELAY_MS);
        }
        out.write(buffer, 0, count);
      }
    } catch (IOException ignored) {
      // One end closed the connection; the other end is closed below unless bytes were lost.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    boolean hasLostBytes = isTowardTarget ? pair.hasLostBytesToTarget : pair.hasLostBytesToClient;
    if (!hasLostBytes) {
      pair.close();
    }
  }

  private boolean dropsBytes(ConnectionPair pair, boolean isTowardTarget) {
    Condition current = condition;
    boolean dropsNow =
        current == Condition.SILENT || current == Condition.ONE_WAY && !isTowardTarget;
    if (isTowardTarget) {
      pair.hasLostBytesToTarget |= dropsNow;
      return pair.hasLostBytesToTarget;
    }
    pair.hasLostBytesToClient |= dropsNow;
    return pair.hasLostBytesToClient;
  }

  private static void resetOnClose(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
    } catch (IOException ignored) {
      // The socket is already closed.
    }
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException ignored) {
      // The socket is discarded anyway.
    }
  }

  @Override
  public void close() throws IOException {
    serverSocket.close();
    pairs.forEach(ConnectionPair::close);
  }
}
