package org.cowslipstair.soak.net;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Reads and writes HTTP/1.1 messages on a socket. Not safe for use by many threads. */
public final class HttpStream implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final String LENGTH = "content-length";

  private final Socket socket;
  private final BufferedInputStream in;
  private final OutputStream out;

  HttpStream(Socket socket) throws IOException {
    this.socket = socket;
    this.in = new BufferedInputStream(socket.getInputStream());
    this.out = socket.getOutputStream();
    socket.setTcpNoDelay(true);
  }

  /** Opens a connection on loopback. */
  public static HttpStream open(int port) throws IOException {
    Socket socket = new Socket();
    socket.connect(new InetSocketAddress("127.0.0.1", port), CONNECT_TIMEOUT_MS);
    return new HttpStream(socket);
  }

  /** Sets the longest time to wait for bytes. */
  public void readTimeout(long ms) throws IOException {
    socket.setSoTimeout((int) Math.max(1, ms));
  }

  /** Writes a request. */
  public void request(String method, String target, Map<String, String> headers, byte[] body)
      throws IOException {
    write(method + " " + target + " HTTP/1.1", headers, body);
  }

  /** Writes an answer. */
  public void answer(int status, Map<String, String> headers, byte[] body) throws IOException {
    write("HTTP/1.1 " + status + " X", headers, body);
  }

  /** Writes an answer that says to be longer than it is, and ends the connection. */
  public void cutAnswer(int status, Map<String, String> headers, byte[] body) throws IOException {
    StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    head.append(LENGTH).append(": ").append(body.length + 1).append("\r\n\r\n");
    out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    out.write(body);
    close();
  }

  private void write(String firstLine, Map<String, String> headers, byte[] body)
      throws IOException {
    StringBuilder head = new StringBuilder(firstLine).append("\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    head.append(LENGTH).append(": ").append(body.length).append("\r\n\r\n");
    byte[] headBytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
    byte[] all = new byte[headBytes.length + body.length];
    System.arraycopy(headBytes, 0, all, 0, headBytes.length);
    System.arraycopy(body, 0, all, headBytes.length, body.length);
    out.write(all);
    out.flush();
  }

  /** Reads a request; empty at the end of the connection. */
  public Optional<HttpRequest> readRequest() throws IOException {
    String line = line();
    if (line.isEmpty()) {
      return Optional.empty();
    }
    String[] words = line.split(" ");
    Map<String, String> headers = headers();
    byte[] body = body(headers, false);
    return Optional.of(new HttpRequest(words[0], words[1], headers, body));
  }

  /**
   * Reads an answer.
   *
   * @throws EOFException if the connection ended before a whole head
   */
  public HttpAnswer readAnswer() throws IOException {
    String line = line();
    if (!line.startsWith("HTTP/1.1 ")) {
      throw new EOFException("no answer but \"" + line + "\"");
    }
    int status = Integer.parseInt(line.substring(9, 12));
    Map<String, String> headers = headers();
    try {
      return new HttpAnswer(status, headers, body(headers, true), true);
    } catch (EOFException e) {
      return new HttpAnswer(status, headers, new byte[0], false);
    }
  }

  private byte[] body(Map<String, String> headers, boolean isAnswer) throws IOException {
    String length = headers.get(LENGTH);
    if (length != null) {
      return exactly(Integer.parseInt(length));
    }
    if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
      return chunks();
    }
    return isAnswer ? in.readAllBytes() : new byte[0];
  }

  private byte[] chunks() throws IOException {
    ByteArrayOutputStream whole = new ByteArrayOutputStream();
    while (true) {
      String size = line();
      if (size.isEmpty()) {
        throw new EOFException("cut in a chunked body");
      }
      byte[] chunk = exactly(Integer.parseInt(size, 16));
      whole.writeBytes(chunk);
      line();
      if (chunk.length == 0) {
        return whole.toByteArray();
      }
    }
  }

  private byte[] exactly(int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("cut in a body");
    }
    return bytes;
  }

  private Map<String, String> headers() throws IOException {
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = line(); !line.isEmpty(); line = line()) {
      int colon = line.indexOf(':');
      if (colon > 0) {
        headers.put(
            line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
      }
    }
    return headers;
  }

  private String line() throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
      if (next != '\r') {
        bytes.write(next);
      }
    }
    return bytes.toString(StandardCharsets.ISO_8859_1);
  }

  /** Ends the connection with a reset. */
  public void reset() throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
