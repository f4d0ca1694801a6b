package org.cowslipstair.adapters.http;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** A caller made of a raw socket, which sees exactly how an answer ends. */
final class RawCaller implements AutoCloseable {
  private static final int TIMEOUT_MS = 20_000;
  final Socket socket;
  private final InputStream in;

  RawCaller(int port) throws IOException {
    socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setSoTimeout(TIMEOUT_MS);
    socket.setTcpNoDelay(true);
    in = new BufferedInputStream(socket.getInputStream());
  }

  /** A whole answer. */
  record Answer(int status, List<String> headers, byte[] body, List<String> trailers) {
    Optional<String> header(String name) {
      String prefix = name.toLowerCase() + ": ";
      return headers.stream()
          .filter(line -> line.toLowerCase().startsWith(prefix))
          .map(line -> line.substring(prefix.length()))
          .findFirst();
    }

    String text() {
      return new String(body, StandardCharsets.ISO_8859_1);
    }
  }

  static Answer call(int port, String request) throws IOException {
    try (RawCaller caller = new RawCaller(port)) {
      caller.send(request);
      return caller.read(request.startsWith("HEAD"));
    }
  }

  static String get(String target) {
    return "GET " + target + " HTTP/1.1\r\nHost: example.org\r\n\r\n";
  }

  static String post(String target, String requestId, String body) {
    return "POST "
        + target
        + " HTTP/1.1\r\nHost: example.org\r\nX-Request-Id: "
        + requestId
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  void send(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  Answer read() throws IOException {
    return read(false);
  }

  /** Reads one answer; throws if it does not end as its framing says. */
  Answer read(boolean head) throws IOException {
    int status = Integer.parseInt(readLine().split(" ")[1]);
    List<String> headers = readFields();
    Answer answer = new Answer(status, headers, new byte[0], List.of());
    if (status == 100) {
      return read(head);
    }
    if (head || status == 204 || status == 304) {
      return answer;
    }
    if (answer.header("Transfer-Encoding").isPresent()) {
      byte[] body = readChunks();
      return new Answer(status, headers, body, readFields());
    }
    int length = Integer.parseInt(answer.header("Content-Length").orElseThrow());
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new EOFException("body cut short");
    }
    return new Answer(status, headers, body, List.of());
  }

  /** Reads until a text has passed. */
  void readUntil(String text) throws IOException {
    StringBuilder seen = new StringBuilder();
    while (seen.indexOf(text) < 0) {
      int b = in.read();
      if (b < 0) {
        throw new EOFException("connection closed after " + seen);
      }
      seen.append((char) b);
    }
  }

  /** Reads whatever comes until the connection ends, in whichever way. */
  String readRest() throws IOException {
    ByteArrayOutputStream rest = new ByteArrayOutputStream();
    try {
      in.transferTo(rest);
    } catch (SocketTimeoutException e) {
      throw e;
    } catch (IOException ignored) {
      // A reset is an end too.
    }
    return rest.toString(StandardCharsets.ISO_8859_1);
  }

  byte[] readBytes(int count) throws IOException {
    return in.readNBytes(count);
  }

  /** Returns whether the connection is closed without another byte. */
  boolean isAtEnd() throws IOException {
    try {
      return in.read() < 0;
    } catch (java.net.SocketException ignored) {
      return true;
    }
  }

  private byte[] readChunks() throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    int size = Integer.parseInt(readLine(), 16);
    while (size > 0) {
      byte[] chunk = in.readNBytes(size);
      if (chunk.length < size) {
        throw new EOFException("chunk cut short");
      }
      body.write(chunk);
      readLine();
      size = Integer.parseInt(readLine(), 16);
    }
    return body.toByteArray();
  }

  private List<String> readFields() throws IOException {
    List<String> fields = new ArrayList<>();
    for (String line = readLine(); !line.isEmpty(); line = readLine()) {
      fields.add(line);
    }
    return fields;
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

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
