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

/** Reads and writes HTTP/1.1 messages on a socket. Not thread-safe. */
public final class HttpConnection implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final String CONTENT_LENGTH = "content-length";

  private final Socket socket;
  private final BufferedInputStream in;
  private final OutputStream out;

  HttpConnection(Socket socket) throws IOException {
    this.socket = socket;
    this.in = new BufferedInputStream(socket.getInputStream());
    this.out = socket.getOutputStream();
    socket.setTcpNoDelay(true);
  }

  /** Opens a connection on loopback. */
  public static HttpConnection open(int port) throws IOException {
    Socket socket = new Socket();
    socket.connect(new InetSocketAddress("127.0.0.1", port), CONNECT_TIMEOUT_MS);
    return new HttpConnection(socket);
  }

  /** Sets the maximum time to wait for bytes. */
  public void setReadTimeoutMs(long ms) throws IOException {
    socket.setSoTimeout((int) Math.max(1, ms));
  }

  /** Writes a request. */
  public void writeRequest(String method, String target, Map<String, String> headers, byte[] body)
      throws IOException {
    write(method + " " + target + " HTTP/1.1", headers, body);
  }

  /** Writes a response. */
  public void writeResponse(int status, Map<String, String> headers, byte[] body)
      throws IOException {
    write("HTTP/1.1 " + status + " X", headers, body);
  }

  /** Writes a response with a content length greater than its body, and closes the connection. */
  public void writeTruncatedResponse(int status, Map<String, String> headers, byte[] body)
      throws IOException {
    StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    head.append(CONTENT_LENGTH).append(": ").append(body.length + 1).append("\r\n\r\n");
    out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    out.write(body);
    close();
  }

  private void write(String firstLine, Map<String, String> headers, byte[] body)
      throws IOException {
    StringBuilder head = new StringBuilder(firstLine).append("\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    head.append(CONTENT_LENGTH).append(": ").append(body.length).append("\r\n\r\n");
    byte[] headBytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
    byte[] message = new byte[headBytes.length + body.length];
    System.arraycopy(headBytes, 0, message, 0, headBytes.length);
    System.arraycopy(body, 0, message, headBytes.length, body.length);
    out.write(message);
    out.flush();
  }

  /** Reads a request; returns empty at the end of the connection. */
  public Optional<HttpRequest> readRequest() throws IOException {
    String line = readLine();
    if (line.isEmpty()) {
      return Optional.empty();
    }
    String[] words = line.split(" ");
    Map<String, String> headers = readHeaders();
    byte[] body = readBody(headers, false);
    return Optional.of(new HttpRequest(words[0], words[1], headers, body));
  }

  /**
   * Reads a response.
   *
   * @throws EOFException if the connection ended before a status line was read
   */
  public HttpResponse readResponse() throws IOException {
    String line = readLine();
    if (!line.startsWith("HTTP/1.1 ")) {
      throw new EOFException("no HTTP/1.1 response but \"" + line + "\"");
    }
    int status = Integer.parseInt(line.substring(9, 12));
    Map<String, String> headers = readHeaders();
    try {
      return new HttpResponse(status, headers, readBody(headers, true), true);
    } catch (EOFException e) {
      return new HttpResponse(status, headers, new byte[0], false);
    }
  }

  private byte[] readBody(Map<String, String> headers, boolean isResponse) throws IOException {
    String length = headers.get(CONTENT_LENGTH);
    if (length != null) {
      return readExactly(Integer.parseInt(length));
    }
    if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
      return readChunkedBody();
    }
    return isResponse ? in.readAllBytes() : new byte[0];
  }

  private byte[] readChunkedBody() throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      String size = readLine();
      if (size.isEmpty()) {
        throw new EOFException("connection closed within a chunked body");
      }
      byte[] chunk = readExactly(Integer.parseInt(size, 16));
      body.writeBytes(chunk);
      readLine();
      if (chunk.length == 0) {
        return body.toByteArray();
      }
    }
  }

  private byte[] readExactly(int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("connection closed within a body");
    }
    return bytes;
  }

  private Map<String, String> readHeaders() throws IOException {
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = readLine(); !line.isEmpty(); line = readLine()) {
      int colon = line.indexOf(':');
      if (colon > 0) {
        headers.put(
            line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
      }
    }
    return headers;
  }

  private String readLine() throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
      if (next != '\r') {
        bytes.write(next);
      }
    }
    return bytes.toString(StandardCharsets.ISO_8859_1);
  }

  /** Resets the connection. */
  public void reset() throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
