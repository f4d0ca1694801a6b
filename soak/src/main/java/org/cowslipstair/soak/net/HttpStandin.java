package org.cowslipstair.soak.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Serves HTTP on loopback, one virtual thread a connection. */
public final class HttpStandin implements AutoCloseable {
  private static final int BACKLOG = 256;

  private final ServerSocket server;
  private final Handler handler;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

  /** Answers requests; the connection is closed if it throws. */
  public interface Handler {
    /** Answers one request, or hangs, or ends the connection. */
    void handle(HttpRequest request, HttpStream stream) throws IOException, InterruptedException;
  }

  /** Starts a server at a port of its own. */
  public HttpStandin(Handler handler) throws IOException {
    this.handler = handler;
    this.server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::accept);
  }

  /** Returns the port. */
  public int port() {
    return server.getLocalPort();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        sockets.add(socket);
        Thread.ofVirtual().start(() -> serve(socket));
      } catch (IOException ignored) {
        // The server was closed.
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      HttpStream stream = new HttpStream(socket);
      Optional<HttpRequest> request = stream.readRequest();
      while (request.isPresent()) {
        handler.handle(request.get(), stream);
        request = socket.isClosed() ? Optional.empty() : stream.readRequest();
      }
    } catch (IOException ignored) {
      // The peer left, or a fault ended the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      sockets.remove(socket);
    }
  }

  /** Ends everything, as a crash would. */
  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
