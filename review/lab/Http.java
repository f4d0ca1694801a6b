package review.lab;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads and writes HTTP/1.1 messages on plain streams. */
public final class Http {
  private Http() {}

  /** A request or a response: its first line, its headers by lower-case name, and its body. */
  public record Message(String firstLine, Map<String, String> headers, byte[] body) {
    /** Returns a header, or the empty text. */
    public String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    /** Returns the status of a response. */
    public int status() {
      return Integer.parseInt(firstLine.split(" ")[1]);
    }

    /** Returns the target of a request. */
    public String target() {
      return firstLine.split(" ")[1];
    }

    /** Returns the method of a request. */
    public String method() {
      return firstLine.split(" ")[0];
    }
  }

  /** Reads one message with a Content-Length or in chunks; null at the end of the stream. */
  public static Message read(InputStream in) throws IOException {
    String first = line(in);
    if (first == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>();
    for (String text = line(in); text != null && !text.isEmpty(); text = line(in)) {
      int colon = text.indexOf(':');
      headers.put(text.substring(0, colon).toLowerCase(Locale.ROOT), text.substring(colon + 1).trim());
    }
    if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
      return new Message(first, headers, chunks(in));
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new EOFException("body ends after " + body.length + " of " + length + " bytes");
    }
    return new Message(first, headers, body);
  }

  private static byte[] chunks(InputStream in) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      String size = line(in);
      if (size == null) {
        throw new EOFException("chunks end after " + body.size() + " bytes");
      }
      int length = Integer.parseInt(size.trim(), 16);
      body.writeBytes(in.readNBytes(length));
      line(in);
      if (length == 0) {
        return body.toByteArray();
      }
    }
  }

  private static String line(InputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    for (int next = in.read(); next >= 0; next = in.read()) {
      if (next == '\n') {
        return text.toString().stripTrailing();
      }
      text.append((char) next);
    }
    if (text.length() > 0) {
      throw new EOFException("message ends in its head");
    }
    return null;
  }

  /** Writes one message with a Content-Length. */
  public static void write(OutputStream out, String firstLine, Map<String, String> headers, byte[] body)
      throws IOException {
    StringBuilder head = new StringBuilder(firstLine).append("\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    all.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    all.writeBytes(body);
    out.write(all.toByteArray());
    out.flush();
  }
}
