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
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.cowslipstair.model.config.HostPort;

/** A backend server on raw sockets. Answers health checks itself and the rest by a script. */
final class ScriptedBackend implements AutoCloseable {
  private static final int BACKLOG = 64;
  final List<Received> received = new CopyOnWriteArrayList<>();
  final List<String> strayBytes = new CopyOnWriteArrayList<>();
  final CountDownLatch connectionClosed = new CountDownLatch(1);
  final String id;
  volatile String load = "0,0,3,100";
  volatile String healthFields = "";
  private final ServerSocket server;
  private volatile Script script = Script.ok("hello");

  /** A request that reached the backend server. */
  record Received(String line, List<String> fields, String body, int connection) {
    String field(String name) {
      for (String field : fields) {
        if (field.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":")) {
          return field.substring(name.length() + 1).trim();
        }
      }
      return "";
    }

    String requestId() {
      return field(EdgeRig.HEADERS.requestId());
    }
  }

  /** What a backend server does with a request. */
  @FunctionalInterface
  interface Script {
    void run(Received request, Socket socket) throws IOException, InterruptedException;

    /** Answers with a signed body. */
    static Script ok(String body) {
      return (request, socket) -> write(socket, answer(request.requestId(), 200, body));
    }
  }

  ScriptedBackend(String id) throws IOException {
    this.id = id;
    this.server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    Thread.ofPlatform().daemon().start(this::accept);
  }

  static String answer(String id, int status, String body) {
    return "HTTP/1.1 %d X\r\n%s: %s\r\n%s: proof-of-%s\r\nContent-Length: %d\r\n\r\n%s"
        .formatted(
            status,
            EdgeRig.HEADERS.requestId(),
            id,
            EdgeRig.HEADERS.proof(),
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
    return new HostPort("127.0.0.1", server.getLocalPort());
  }

  private void accept() {
    int number = 0;
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        int connection = number++;
        Thread.ofPlatform().daemon().start(() -> serve(socket, connection));
      } catch (IOException ignored) {
        // The test is over.
      }
    }
  }

  private void serve(Socket socket, int connection) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      while (true) {
        List<String> head = head(in);
        if (head.isEmpty()) {
          return;
        }
        Received request =
            new Received(head.getFirst(), head.subList(1, head.size()), "", connection);
        if (request.line().startsWith("GET /healthz ")) {
          write(socket, health());
          continue;
        }
        if (!request.line().endsWith(" HTTP/1.1")) {
          strayBytes.add(request.line());
          return;
        }
        String length = request.field("content-length");
        boolean lazy = script instanceof LazyScript;
        String body =
            lazy || length.isEmpty()
                ? ""
                : new String(in.readNBytes(Integer.parseInt(length)), StandardCharsets.ISO_8859_1);
        Received whole = new Received(request.line(), request.fields(), body, connection);
        received.add(whole);
        script.run(whole, socket);
        if (socket.isClosed()) {
          return;
        }
        if (lazy && !length.isEmpty()) {
          in.readNBytes(Integer.parseInt(length));
        }
      }
    } catch (IOException ignored) {
      // The gateway closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      connectionClosed.countDown();
    }
  }

  /** A script that answers before it has read the body. */
  @FunctionalInterface
  interface LazyScript extends Script {}

  private String health() {
    return "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n%sContent-Length: 0\r\n\r\n"
        .formatted(EdgeRig.HEADERS.instance(), id, EdgeRig.HEADERS.load(), load, healthFields);
  }

  private static List<String> head(InputStream in) throws IOException {
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
