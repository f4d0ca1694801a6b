package org.cowslipstair.edge;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A caller on a raw socket. */
final class RawClient implements AutoCloseable {
  private static final int READ_TIMEOUT_MS = 30_000;
  private final Socket socket;
  private final InputStream in;

  /** An answer; incomplete if the connection ended early. */
  record Answer(int status, List<String> fields, String body, boolean complete) {
    String field(String name) {
      for (String field : fields) {
        if (field.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":")) {
          return field.substring(name.length() + 1).trim();
        }
      }
      return "";
    }
  }

  RawClient(int port) throws IOException {
    socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setSoTimeout(READ_TIMEOUT_MS);
    in = new BufferedInputStream(socket.getInputStream());
  }

  void write(String bytes) throws IOException {
    socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  static String get(String path, String id) {
    return "GET %s HTTP/1.1\r\nHost: a.example\r\nX-Id: %s\r\nX-Deadline-Ms: 20000\r\n\r\n"
        .formatted(path, id);
  }

  static String post(String path, String id, String body) {
    return "POST %s HTTP/1.1\r\nHost: a.example\r\nX-Id: %s\r\nX-Deadline-Ms: 20000\r\n"
            .formatted(path, id)
        + "Content-Length: %d\r\n\r\n%s".formatted(body.length(), body);
  }

  Answer ask(String request) throws IOException {
    write(request);
    return read();
  }

  Answer read() throws IOException {
    String status = line();
    List<String> fields = new ArrayList<>();
    String field = line();
    while (!field.isEmpty()) {
      fields.add(field);
      field = line();
    }
    Answer head = new Answer(statusOf(status), fields, "", false);
    String length = head.field("content-length");
    if (!length.isEmpty()) {
      byte[] body = in.readNBytes(Integer.parseInt(length));
      boolean complete = body.length == Integer.parseInt(length);
      return new Answer(head.status, fields, text(body), complete);
    }
    return head.field("transfer-encoding").isEmpty() ? head : chunked(head);
  }

  private Answer chunked(Answer head) throws IOException {
    StringBuilder body = new StringBuilder();
    while (true) {
      String size = line();
      if (size.isEmpty()) {
        return new Answer(head.status, head.fields, body.toString(), false);
      }
      int bytes = Integer.parseInt(size, 16);
      body.append(text(in.readNBytes(bytes)));
      line();
      if (bytes == 0) {
        return new Answer(head.status, head.fields, body.toString(), true);
      }
    }
  }

  private static int statusOf(String line) {
    return line.startsWith("HTTP/1.1 ") ? Integer.parseInt(line.substring(9, 12)) : 0;
  }

  private static String text(byte[] bytes) {
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }

  private String line() throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    int next = in.read();
    while (next >= 0 && next != '\n') {
      if (next != '\r') {
        bytes.write(next);
      }
      next = in.read();
    }
    return bytes.toString(StandardCharsets.ISO_8859_1);
  }

  /** Returns whether the gateway has ended the connection. */
  boolean isAtEnd() throws IOException {
    return in.read() < 0;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
