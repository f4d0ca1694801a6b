package org.cowslipstair.soak.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Serves HTTP on loopback with one virtual thread per connection. */
public final class LoopbackHttpServer implements AutoCloseable {
  private static final int BACKLOG = 256;

  private final ServerSocket serverSocket;
  private final Handler handler;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

  /** Handles requests. The connection is closed if the handler throws an exception. */
  public interface Handler {
    /** Handles one request: responds, hangs, or closes the connection. */
    void handle(HttpRequest request, HttpConnection connection)
        throws IOException, InterruptedException;
  }

  /** Starts a server on a free port. */
  public LoopbackHttpServer(Handler handler) throws IOException {
    this.handler = handler;
    this.serverSocket = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::acceptConnections);
  }

  /** Returns the port that the server listens on. */
  public int port() {
    return serverSocket.getLocalPort();
  }

  private void acceptConnections() {
    while (!serverSocket.isClosed()) {
      try {
        Socket socket = serverSocket.accept();
        sockets.add(socket);
        Thread.ofVirtual().start(() -> serve(socket));
      } catch (IOException ignored) {
        // The server was closed.
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      HttpConnection connection = new HttpConnection(socket);
      Optional<HttpRequest> request = connection.readRequest();
      while (request.isPresent()) {
        handler.handle(request.get(), connection);
        request = socket.isClosed() ? Optional.empty() : connection.readRequest();
      }
    } catch (IOException ignored) {
      // The peer disconnected, or a fault closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      sockets.remove(socket);
    }
  }

  /** Closes the server and all connections, like a crash. */
  @Override
  public void close() throws IOException {
    serverSocket.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
