package review.lab;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;

/** A client that sends each request on a new connection. */
public final class Client {
  private static final AtomicLong NEXT_ID = new AtomicLong(1);

  private final Record record;

  public Client(Record record) {
    this.record = record;
  }

  /** What a client saw; status 0 if there was no complete answer. */
  public record Result(String id, int status, String instance, String cause, long sentMs, long endMs) {}

  /** Returns a new request id. */
  public static String newId() {
    return "%016x".formatted(NEXT_ID.getAndIncrement());
  }

  /** Sends one request and waits for its answer. */
  public Result send(Gateway gateway, String method, String host, String path, byte[] body, int deadlineMs) {
    String id = newId();
    long sentMs = record.nowMs();
    try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), gateway.callerPort())) {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(deadlineMs);
      Map<String, String> headers = new TreeMap<>();
      headers.put("Host", host);
      headers.put(Wire.REQUEST_ID, id);
      headers.put(Wire.DEADLINE, Integer.toString(deadlineMs));
      InputStream in = new BufferedInputStream(socket.getInputStream());
      Http.write(socket.getOutputStream(), method + " " + path + " HTTP/1.1", headers, body);
      Http.Message answer = Http.read(in);
      Result result =
          answer == null
              ? new Result(id, 0, "", "closed without an answer", sentMs, record.nowMs())
              : new Result(
                  id, answer.status(), answer.header(Wire.INSTANCE), "", sentMs, record.nowMs());
      record.line(
          "client: %s %s %s by %s, sent at %d: %s %s",
          id, method, path, gateway.name(), sentMs, answer == null ? "none" : answer.firstLine(), result.cause);
      return result;
    } catch (IOException e) {
      record.line("client: %s %s %s by %s, sent at %d: %s", id, method, path, gateway.name(), sentMs, e);
      return new Result(id, 0, "", e.toString(), sentMs, record.nowMs());
    }
  }
}
