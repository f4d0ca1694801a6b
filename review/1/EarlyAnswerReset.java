package review;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import review.lab.Client;
import review.lab.Gateway;
import review.lab.Http;
import review.lab.Lab;
import review.lab.Plan;
import review.lab.ResettingProxy;
import review.lab.Wire;

/**
 * An upstream answers an upload before it has read all of it, without a length; the connection is
 * reset in the middle of the answer.
 */
public final class EarlyAnswerReset {
  private static final int UPLOADS = 30;
  private static final int UPSTREAMS = 5;

  /** Upstreams of which answers are reset: a share of 0.6. */
  private static final int RESET_UPSTREAMS = 3;

  /** The first 2 of each 5 answers of such an upstream are reset: 0.4 of them. */
  private static final int RESET_ANSWERS = 2;

  private static final int RESET_CYCLE = 5;
  private static final int UPLOAD_BYTES = 8_000_000;
  private static final int ANSWER_BYTES = 60_000;
  private static final int EARLY_BYTES = 20_000;
  private static final int READ_EARLY_BYTES = 16_384;

  /** Links have small windows. */
  private static final int WINDOW_BYTES = 65_536;

  private EarlyAnswerReset() {}

  public static void main(String[] arguments) throws Exception {
    Lab.main(arguments, EarlyAnswerReset::run);
  }

  private static int run(Lab lab) throws Exception {
    lab.store.put(
        "config", "main", new Plan().route("/scan/", "upload", "patroonkist", 30_000, 600).version(7));
    for (int i = 0; i < UPSTREAMS; i++) {
      new EarlyUpstream(lab, "i-" + i, lab.trouble && i < RESET_UPSTREAMS).start();
    }
    Gateway gateway = lab.gateway("front-be-west-a-1");
    gateway.writeSettings(
        "be-west-a", lab.store.open(gateway.name()).port(), List.of(gateway.relayAddress()), true, 6);
    gateway.start();
    if (!gateway.awaitReady(20_000)) {
      return Lab.NOT_RUN;
    }
    Thread.sleep(4_000);
    int broken = 0;
    int complete = 0;
    for (int i = 0; i < UPLOADS; i++) {
      byte[] body = new byte[UPLOAD_BYTES];
      Answer answer = upload(lab, gateway, "/scan/" + i, body);
      boolean isSuccess = answer.status >= 200 && answer.status < 300;
      if (isSuccess && answer.looksComplete && answer.bytes < ANSWER_BYTES) {
        broken++;
        lab.record.line(
            "BROKEN: %s: success with %d of the upstream's %d bytes, and it looks complete",
            answer.id, answer.bytes, ANSWER_BYTES);
      }
      complete += isSuccess && answer.bytes == ANSWER_BYTES ? 1 : 0;
    }
    lab.record.line("%d uploads, %d whole answers, %d cut answers that look complete", UPLOADS, complete, broken);
    if (!lab.trouble && complete == 0) {
      return Lab.NOT_RUN;
    }
    return broken > 0 ? Lab.BROKEN : Lab.HELD;
  }

  private record Answer(String id, int status, int bytes, boolean looksComplete) {}

  private static Answer upload(Lab lab, Gateway gateway, String path, byte[] body) {
    String id = Client.newId();
    try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), gateway.callerPort())) {
      socket.setSoTimeout(10_000);
      Map<String, String> headers = new TreeMap<>();
      headers.put("Host", Plan.HOST);
      headers.put(Wire.REQUEST_ID, id);
      headers.put(Wire.DEADLINE, "10000");
      lab.record.line("client: %s POST %s with %d bytes", id, path, body.length);
      Http.write(socket.getOutputStream(), "POST " + path + " HTTP/1.1", headers, body);
      Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()));
      if (answer == null) {
        lab.record.line("client: %s closed without an answer", id);
        return new Answer(id, 0, 0, false);
      }
      lab.record.line(
          "client: %s %s, %d bytes, proof %s",
          id, answer.firstLine(), answer.body().length, answer.header(Wire.SIGNATURE));
      return new Answer(id, answer.status(), answer.body().length, true);
    } catch (IOException e) {
      lab.record.line("client: %s %s", id, e);
      return new Answer(id, 0, 0, false);
    }
  }

  /** An upstream that answers early and without a length. */
  private static final class EarlyUpstream {
    private final Lab lab;
    private final String id;
    private final ServerSocket server;
    private final int port;
    private final AtomicInteger answers = new AtomicInteger();

    EarlyUpstream(Lab lab, String id, boolean hasResets) throws IOException {
      this.lab = lab;
      this.id = id;
      this.server = new ServerSocket();
      server.setReceiveBufferSize(WINDOW_BYTES);
      server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 50);
      this.port =
          hasResets
              ? new ResettingProxy(lab.record, id, server.getLocalPort(), this::resetsNext).port()
              : server.getLocalPort();
    }

    private boolean resetsNext() {
      return answers.getAndIncrement() % RESET_CYCLE < RESET_ANSWERS;
    }

    void start() {
      lab.store.put(
          "servers",
          id,
          new ObjectMapper().createObjectNode()
              .put("service", "patroonkist")
              .put("address", "127.0.0.1:" + port)
              .put("zone", "be-west-a")
              .put("version", "v1")
              .put("slots", 2)
              .put("state", "ready")
              .put(Wire.COLD_LEFT, 0)
              .put("seq", 1)
              .put("born", System.currentTimeMillis()));
      Thread.ofVirtual().start(this::accept);
    }

    private void accept() {
      while (true) {
        try {
          Socket socket = server.accept();
          Thread.ofVirtual().start(() -> serve(socket));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        while (true) {
          StringBuilder head = new StringBuilder();
          while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
              return;
            }
            head.append((char) next);
          }
          if (head.indexOf("GET /healthz") == 0) {
            Http.write(
                out,
                "HTTP/1.1 200 OK",
                Map.of(Wire.INSTANCE, id, Wire.LOAD, "0,0,2,100"),
                new byte[0]);
            continue;
          }
          answerEarly(socket, in, out, head.toString());
          return;
        }
      } catch (IOException e) {
        lab.record.line("upstream %s: its connection: %s", id, e.getMessage());
      }
    }

    private void answerEarly(Socket socket, InputStream in, OutputStream out, String head)
        throws IOException {
      String requestId = value(head, Wire.REQUEST_ID);
      int length = Integer.parseInt(value(head, "content-length"));
      in.readNBytes(READ_EARLY_BYTES);
      lab.record.line("upstream %s runs %s, answers before it has read all %d bytes", id, requestId, length);
      String answer =
          "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n%s: proof-%s\r\nConnection: close\r\n\r\n"
              .formatted(Wire.REQUEST_ID, requestId, Wire.INSTANCE, id, Wire.SIGNATURE, requestId);
      byte[] body = new byte[ANSWER_BYTES];
      Arrays.fill(body, (byte) 'x');
      out.write(answer.getBytes());
      out.write(body, 0, EARLY_BYTES);
      out.flush();
      pause(200);
      in.readNBytes(length - READ_EARLY_BYTES);
      out.write(body, EARLY_BYTES, ANSWER_BYTES - EARLY_BYTES);
      out.flush();
    }

    private static String value(String head, String name) {
      for (String line : head.split("\r\n")) {
        if (line.toLowerCase(java.util.Locale.ROOT).startsWith(name.toLowerCase(java.util.Locale.ROOT) + ":")) {
          return line.substring(line.indexOf(':') + 1).trim();
        }
      }
      return "";
    }

    private static void pause(long ms) {
      try {
        Thread.sleep(ms);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
