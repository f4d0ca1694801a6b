package org.cowslipstair.adapters.http;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.Labels;
import org.cowslipstair.model.config.ZoneName;

/** A backend server made of raw sockets, which misbehaves byte by byte as a test wants. */
final class RawBackend implements AutoCloseable {
  private final ServerSocket listener;
  private final Script script;
  private final AtomicInteger connections = new AtomicInteger();
  private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  private final List<Received> received = new CopyOnWriteArrayList<>();
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();

  RawBackend(Script script) throws IOException {
    this.script = script;
    this.listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::acceptLoop);
  }

  /** What to do on a connection. */
  @FunctionalInterface
  interface Script {
    void serve(Link link) throws IOException;
  }

  /** A request as it was on the wire. */
  record Received(String requestLine, List<String> headers, byte[] body) {
    int wireBytes() {
      int bytes = requestLine.length() + 2 + body.length;
      for (String header : headers) {
        bytes += header.length() + 2;
      }
      return bytes + 2;
    }

    Optional<String> header(String name) {
      String prefix = name.toLowerCase() + ": ";
      return headers.stream()
          .filter(line -> line.toLowerCase().startsWith(prefix))
          .map(line -> line.substring(prefix.length()))
          .findFirst();
    }
  }

  /** Answers each request in turn. */
  static Script answering(java.util.function.Function<Received, String> answers) {
    return link -> {
      while (true) {
        Received request = link.read();
        link.write(answers.apply(request));
      }
    };
  }

  static String ok(String body) {
    int bytes = body.getBytes(StandardCharsets.ISO_8859_1).length;
    return "HTTP/1.1 200 OK\r\nContent-Length: " + bytes + "\r\n\r\n" + body;
  }

  BackendServer server() {
    return serverAt(listener.getLocalPort());
  }

  static BackendServer serverAt(int port) {
    return new BackendServer(
        new BackendName("raw"),
        new Labels(new LinkedHashMap<>()),
        new ZoneName("zone-a"),
        new HostPort("127.0.0.1", port),
        2,
        260);
  }

  /** Takes a port on which nobody listens, and which nobody else gets meanwhile. */
  static Socket deafSocket() throws IOException {
    Socket socket = new Socket();
    socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    return socket;
  }

  int connections() {
    return connections.get();
  }

  int runs(String requestId) {
    AtomicInteger count = runs.get(requestId);
    return count == null ? 0 : count.get();
  }

  List<Received> received() {
    return received;
  }

  private void acceptLoop() {
    try {
      while (true) {
        Socket socket = listener.accept();
        connections.incrementAndGet();
        open.add(socket);
        Thread.ofVirtual().start(() -> serve(socket));
      }
    } catch (IOException ignored) {
      // The backend was closed.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      script.serve(new Link(socket));
    } catch (IOException ignored) {
      // The connection ended.
    } finally {
      open.remove(socket);
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : open) {
      socket.close();
    }
  }

  /** One connection, seen from the backend server. */
  final class Link {
    final Socket socket;
    private final InputStream in;

    Link(Socket socket) throws IOException {
      this.socket = socket;
      this.in = new BufferedInputStream(socket.getInputStream());
    }

    /** Reads a whole request and counts it as run. */
    Received read() throws IOException {
      Received request = peek();
      run(request);
      return request;
    }

    /** Counts a request as run. */
    void run(Received request) {
      request
          .header("X-Request-Id")
          .ifPresent(id -> runs.computeIfAbsent(id, _ -> new AtomicInteger()).incrementAndGet());
    }

    /** Reads the head of a request and leaves its body. */
    Received readHead() throws IOException {
      String requestLine = readLine();
      List<String> headers = new ArrayList<>();
      for (String line = readLine(); !line.isEmpty(); line = readLine()) {
        headers.add(line);
      }
      return new Received(requestLine, headers, new byte[0]);
    }

    byte[] readExactly(int count) throws IOException {
      return in.readNBytes(count);
    }

    /** Reads a whole request without running it. */
    Received peek() throws IOException {
      Received head = readHead();
      Received request = new Received(head.requestLine(), head.headers(), readBody(head));
      received.add(request);
      return request;
    }

    /** Reads up to a number of bytes and stops there. */
    int readBytes(int count) throws IOException {
      return in.readNBytes(count).length;
    }

    /** Reads and forgets everything until the peer closes. */
    void discard() throws IOException {
      in.transferTo(java.io.OutputStream.nullOutputStream());
    }

    private byte[] readBody(Received head) throws IOException {
      if (head.header("Transfer-Encoding").isEmpty()) {
        int length = head.header("Content-Length").map(Integer::parseInt).orElse(0);
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
          throw new EOFException("body cut short");
        }
        return body;
      }
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      int size = Integer.parseInt(readLine(), 16);
      while (size > 0) {
        body.write(in.readNBytes(size));
        readLine();
        size = Integer.parseInt(readLine(), 16);
      }
      readLine();
      return body.toByteArray();
    }

    private String readLine() throws IOException {
      ByteArrayOutputStream line = new ByteArrayOutputStream();
      for (int b = in.read(); b != '\n'; b = in.read()) {
        if (b < 0) {
          throw new EOFException("connection closed");
        }
        line.write(b);
      }
      return line.toString(StandardCharsets.ISO_8859_1).strip();
    }

    void write(String text) throws IOException {
      write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    void write(byte[] bytes) throws IOException {
      socket.getOutputStream().write(bytes);
    }

    /** Closes with a reset instead of an orderly end. */
    void reset() {
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }
}
