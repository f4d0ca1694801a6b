package review.lab;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.function.BooleanSupplier;

/** Forwards connections to one upstream, and resets some of them in the middle of a long answer. */
public final class ResettingProxy {
  /** Bytes from the upstream after which a connection carries a long answer, not a health check. */
  private static final int LONG_ANSWER_BYTES = 15_000;

  /** Links have small windows. */
  private static final int WINDOW_BYTES = 65_536;

  private static final int BUFFER_BYTES = 16_384;
  private static final long RESET_DELAY_MS = 50;

  private final Record record;
  private final String name;
  private final int targetPort;
  private final BooleanSupplier resetsNext;
  private final ServerSocket server;

  /**
   * Starts a proxy.
   *
   * @param resetsNext asked once for each long answer: whether it is reset on the way
   */
  public ResettingProxy(Record record, String name, int targetPort, BooleanSupplier resetsNext)
      throws IOException {
    this.record = record;
    this.name = name;
    this.targetPort = targetPort;
    this.resetsNext = resetsNext;
    this.server = new ServerSocket();
    server.setReceiveBufferSize(WINDOW_BYTES);
    server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 50);
    Thread.ofVirtual().start(this::accept);
  }

  public int port() {
    return server.getLocalPort();
  }

  private void accept() {
    while (true) {
      try {
        Socket near = server.accept();
        Socket far = new Socket();
        far.setSendBufferSize(WINDOW_BYTES);
        far.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), targetPort));
        near.setTcpNoDelay(true);
        far.setTcpNoDelay(true);
        Thread.ofVirtual().start(() -> forwardRequests(near, far));
        Thread.ofVirtual().start(() -> forwardAnswers(near, far));
      } catch (IOException e) {
        return;
      }
    }
  }

  private static void forwardRequests(Socket near, Socket far) {
    try {
      InputStream in = near.getInputStream();
      OutputStream out = far.getOutputStream();
      byte[] buffer = new byte[BUFFER_BYTES];
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        out.write(buffer, 0, count);
      }
      far.shutdownOutput();
    } catch (IOException e) {
      closeQuietly(far);
    }
  }

  private void forwardAnswers(Socket near, Socket far) {
    try {
      InputStream in = far.getInputStream();
      OutputStream out = near.getOutputStream();
      byte[] buffer = new byte[BUFFER_BYTES];
      int total = 0;
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        out.write(buffer, 0, count);
        boolean becomesLong = total < LONG_ANSWER_BYTES && total + count >= LONG_ANSWER_BYTES;
        total += count;
        if (becomesLong && resetsNext.getAsBoolean()) {
          Thread.sleep(RESET_DELAY_MS);
          record.line("proxy of %s: the connection is reset after %d bytes of answers", name, total);
          near.setSoLinger(true, 0);
          break;
        }
      }
    } catch (IOException | InterruptedException e) {
      // One of the two ends has closed the connection.
    } finally {
      closeQuietly(near);
      closeQuietly(far);
    }
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // It is closed already.
    }
  }
}
