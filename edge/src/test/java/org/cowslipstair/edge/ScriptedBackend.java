package org.cowslipstair.edge;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.cowslipstair.model.config.HostPort;

/**
 * A backend server on raw sockets. Responds to health checks itself and runs a script for all other
 * requests.
 */
final class ScriptedBackend implements AutoCloseable {
  private static final int BACKLOG = 64;
  final List<ReceivedRequest> receivedRequests = new CopyOnWriteArrayList<>();
  final List<String> receivedLines = new CopyOnWriteArrayList<>();
  final List<Long> arrivalsNs = new CopyOnWriteArrayList<>();
  final List<Long> crashesNs = new CopyOnWriteArrayList<>();
  final List<String> unexpectedLines = new CopyOnWriteArrayList<>();
  final CountDownLatch connectionClosed = new CountDownLatch(1);
  final String id;
  volatile String load = "0,0,3,100";
  volatile String healthHeaders = "";
  volatile String healthStatusLine = "HTTP/1.1 200 OK";
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final int port;
  private volatile ServerSocket server;
  private volatile Script script = Script.ok("hello");

  /** A request that arrived at the backend server. */
  record ReceivedRequest(String line, List<String> headers, String body, int connection) {
    String header(String name) {
      for (String header : headers) {
        if (header.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":")) {
          return header.substring(name.length() + 1).trim();
        }
      }
      return "";
    }

    String requestId() {
      return header(GatewayFixture.HEADERS.requestId());
    }
  }

  /** Handles a request of a backend server. */
  @FunctionalInterface
  interface Script {
    void run(ReceivedRequest request, Socket socket) throws IOException, InterruptedException;

    /** Responds with a signed body. */
    static Script ok(String body) {
      return (request, socket) -> write(socket, response(request.requestId(), 200, body));
    }

    /** Responds with a signed body and a rate limit, in requests per second. */
    static Script limited(double requestsPerSecond) {
      return (request, socket) -> {
        String head = GatewayFixture.HEADERS.rateLimit() + ": " + requestsPerSecond + "\r\n";
        String response = response(request.requestId(), 200, "limited");
        write(socket, response.replaceFirst("\r\n", "\r\n" + head));
      };
    }
  }

  ScriptedBackend(String id) throws IOException {
    this.id = id;
    this.server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    this.port = server.getLocalPort();
    startAccepting(server);
  }

  /** Ends like a process that crashes: all connections are closed, and new ones refused. */
  void crash() throws IOException {
    crashesNs.add(System.nanoTime());
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  /** Accepts connections again after a crash. */
  void restart() throws IOException {
    server = new ServerSocket(port, BACKLOG, InetAddress.getLoopbackAddress());
    startAccepting(server);
  }

  static String response(String id, int status, String body) {
    return "HTTP/1.1 %d X\r\n%s: %s\r\n%s: proof-of-%s\r\nContent-Length: %d\r\n\r\n%s"
        .formatted(
            status,
            GatewayFixture.HEADERS.requestId(),
            id,
            GatewayFixture.HEADERS.signature(),
            id,
            body.length(),
            body);
  }

  static void write(Socket socket, String bytes) throws IOException {
    OutputStream out = socket.getOutputStream();
    out.write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  void script(Script next) {
    script = next;
  }

  HostPort address() {
    return new HostPort("127.0.0.1", port);
  }

  private void startAccepting(ServerSocket listening) {
    Thread.ofPlatform().daemon().start(() -> accept(listening));
  }

  private void accept(ServerSocket listening) {
    int number = 0;
    while (!listening.isClosed()) {
      try {
        Socket socket = listening.accept();
        sockets.add(socket);
        int connection = number++;
        Thread.ofPlatform().daemon().start(() -> serve(socket, connection));
      } catch (IOException ignored) {
        // The backend server has crashed, or the test has finished.
      }
    }
  }

  private void serve(Socket socket, int connection) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      while (true) {
        List<String> head = readHead(in);
        if (head.isEmpty()) {
          return;
        }
        arrivalsNs.add(System.nanoTime());
        receivedLines.addAll(head);
        ReceivedRequest request =
            new ReceivedRequest(head.getFirst(), head.subList(1, head.size()), "", connection);
        if (request.line().startsWith("GET /healthz ")) {
          write(socket, healthResponse());
          continue;
        }
        if (!request.line().endsWith(" HTTP/1.1")) {
          unexpectedLines.add(request.line());
          return;
        }
        String length = request.header("content-length");
        boolean respondsEarly = script instanceof EarlyResponseScript;
        String body =
            respondsEarly || length.isEmpty()
                ? ""
                : new String(in.readNBytes(Integer.parseInt(length)), StandardCharsets.ISO_8859_1);
        ReceivedRequest completeRequest =
            new ReceivedRequest(request.line(), request.headers(), body, connection);
        receivedRequests.add(completeRequest);
        script.run(completeRequest, socket);
        if (socket.isClosed()) {
          return;
        }
        if (respondsEarly && !length.isEmpty()) {
          in.readNBytes(Integer.parseInt(length));
        }
      }
    } catch (IOException ignored) {
      // The gateway closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      sockets.remove(socket);
      connectionClosed.countDown();
    }
  }

  /** A script that responds before the body of the request has been read. */
  @FunctionalInterface
  interface EarlyResponseScript extends Script {}

  private String healthResponse() {
    return "%s\r\n%s: %s\r\n%s: %s\r\n%sContent-Length: 0\r\n\r\n"
        .formatted(
            healthStatusLine,
            GatewayFixture.HEADERS.instance(),
            id,
            GatewayFixture.HEADERS.load(),
            load,
            healthHeaders);
  }

  private static List<String> readHead(InputStream in) throws IOException {
    List<String> lines = new java.util.ArrayList<>();
    while (true) {
      ByteArrayOutputStream line = new ByteArrayOutputStream();
      int next = in.read();
      while (next >= 0 && next != '\n') {
        if (next != '\r') {
          line.write(next);
        }
        next = in.read();
      }
      if (next < 0) {
        return List.of();
      }
      if (line.size() == 0) {
        return lines;
      }
      lines.add(line.toString(StandardCharsets.ISO_8859_1));
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
