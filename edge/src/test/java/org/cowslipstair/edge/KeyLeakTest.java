package org.cowslipstair.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.ThrowableProxyUtil;
import ch.qos.logback.core.AppenderBase;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.NumericChars;
import net.jqwik.api.constraints.StringLength;
import org.cowslipstair.model.tenant.KeyDigest;
import org.slf4j.LoggerFactory;

/** Searches all that a running gateway puts out for the keys of its tenants. */
final class KeyLeakTest {
  private static final byte PING = 16;
  private static final byte PONG = 17;
  private static final long FRAMES_WAIT_MS = 600;
  private static final long MAX_FRAMES_WAIT_MS = 10_000;

  /** Another gateway that records the bytes that it gets, and answers pings. */
  private static final class RecordingPeer implements AutoCloseable {
    private final ServerSocket server;
    private final ByteArrayOutputStream received = new ByteArrayOutputStream();

    RecordingPeer(int port) throws IOException {
      server = new ServerSocket(port, 16, InetAddress.getLoopbackAddress());
      Thread.ofPlatform().daemon().start(this::accept);
    }

    private void accept() {
      while (!server.isClosed()) {
        try {
          Socket socket = server.accept();
          Thread.ofPlatform().daemon().start(() -> record(socket));
        } catch (IOException closed) {
          return;
        }
      }
    }

    private void record(Socket socket) {
      try (socket) {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        while (true) {
          byte[] frame = in.readNBytes(in.readInt());
          received.writeBytes(frame);
          if (frame.length == 1 && frame[0] == PING) {
            out.writeInt(1);
            out.write(PONG);
          }
        }
      } catch (IOException closed) {
        return;
      }
    }

    String text() {
      return received.toString(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
      server.close();
    }
  }

  /** Records the lines of all loggers, with their fields and causes. */
  private static final class RecordingAppender extends AppenderBase<ILoggingEvent> {
    private final Queue<String> lines = new ConcurrentLinkedQueue<>();

    @Override
    protected void append(ILoggingEvent event) {
      String cause =
          event.getThrowableProxy() == null
              ? ""
              : ThrowableProxyUtil.asString(event.getThrowableProxy());
      lines.add(event.getFormattedMessage() + " " + event.getMDCPropertyMap() + cause);
    }
  }

  private final RecordingAppender appender = new RecordingAppender();

  @Property(seed = "2026", tries = 5)
  void noOutputHasAKey(
      @ForAll @AlphaChars @NumericChars @StringLength(min = 16, max = 64) String key)
      throws IOException, InterruptedException {
    Logger root = (Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    appender.setContext((LoggerContext) LoggerFactory.getILoggerFactory());
    appender.start();
    root.addAppender(appender);
    try (GatewayFixture fixture = GatewayFixture.fleet(1, 1, 2);
        RecordingPeer peer = new RecordingPeer(fixture.relayPort(1));
        Socket subscriber = new Socket(InetAddress.getLoopbackAddress(), fixture.relayPort(0))) {
      fixture.configureTenants(2, TenantKeysTest.tenant("alpha", key));
      int answered = sendRequests(fixture, key);
      assertThat(answered, greaterThan(0));
      crashBackends(fixture, key);
      awaitFrames(peer);
      TimeUnit.MILLISECONDS.sleep(FRAMES_WAIT_MS);
      assertThat(fixture.violations, empty());
      search(key, fixture, peer);
      assertThat(relayed(subscriber), not(containsString(key)));
    } finally {
      root.detachAppender(appender);
    }
  }

  private static int sendRequests(GatewayFixture fixture, String key) throws IOException {
    List<String> fields =
        List.of(
            "Authorization: Token " + key,
            "Authorization: token  " + key,
            "Authorization: Basic " + key,
            "Authorization: Token " + key + "\r\nAuthorization: Token " + key,
            "Authorization: Token " + key + key,
            "Proxy-Authorization: Token " + key,
            "Authorization: Token \u0001" + key,
            "Connection: authorization\r\nAuthorization: Token " + key);
    int answered = 0;
    for (String path : List.of("/safe/x", "/hedged/x", "/open/x", "/none/x")) {
      for (String field : fields) {
        try (RawClient client = fixture.client()) {
          String get = RawClient.get(path, "r").replaceFirst("\r\n", "\r\n" + field + "\r\n");
          answered += client.send(get).status() == 200 ? 1 : 0;
          String post = RawClient.post("/upload/x", "r", "body");
          client.write(post.replaceFirst("\r\n", "\r\n" + field + "\r\n"));
        }
      }
    }
    return answered;
  }

  /** Makes the gateway tell the other one of a request that crashes its backend servers. */
  private static void crashBackends(GatewayFixture fixture, String key)
      throws IOException, InterruptedException {
    for (ScriptedBackend backend : fixture.backends) {
      backend.script(
          (request, socket) -> {
            backend.crash();
            TimeUnit.MILLISECONDS.sleep(50);
            backend.restart();
          });
    }
    for (int i = 0; i < 4; i++) {
      try (RawClient client = fixture.client()) {
        String get = RawClient.get("/safe/deadly", "r");
        client.send(get.replaceFirst("\r\n", "\r\nAuthorization: Token " + key + "\r\n"));
      }
      TimeUnit.MILLISECONDS.sleep(100);
    }
  }

  private static void awaitFrames(RecordingPeer peer) throws InterruptedException {
    for (long ms = 0; ms < MAX_FRAMES_WAIT_MS && peer.text().length() < 40; ms += 10) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    assertThat(peer.text().length(), greaterThan(40));
  }

  private void search(String key, GatewayFixture fixture, RecordingPeer peer) throws IOException {
    String state = fixture.state(0).toString();
    assertThat(state, containsString("\"tenants\":[{\"name\":\"alpha\",\"keys\":1"));
    assertThat(state, containsString("fingerprint"));
    String metrics;
    try (RawClient client = new RawClient(fixture.gateway.readyPort())) {
      metrics = client.send("GET /metrics HTTP/1.1\r\nHost: g\r\n\r\n").body();
    }
    assertThat(metrics.isEmpty(), is(false));
    StringBuilder backends = new StringBuilder();
    for (ScriptedBackend backend : fixture.backends) {
      backends.append(backend.receivedLines).append(backend.receivedRequests);
    }
    String logs = String.join("\n", appender.lines);
    assertThat(logs, containsString("exchange: "));
    String digest = KeyDigest.of(key).hex();
    for (String output : List.of(state, metrics, backends.toString(), logs, peer.text())) {
      assertThat(output, not(containsString(key)));
      assertThat(output, not(containsString(digest)));
    }
  }

  private static String relayed(Socket subscriber) throws IOException {
    byte[] bytes = new byte[subscriber.getInputStream().available()];
    int read = subscriber.getInputStream().readNBytes(bytes, 0, bytes.length);
    assertThat(read, greaterThan(0));
    String text = new String(bytes, StandardCharsets.ISO_8859_1);
    assertThat(text, containsString("alpha"));
    return text;
  }
}
