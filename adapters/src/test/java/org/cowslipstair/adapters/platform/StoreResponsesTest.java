package org.cowslipstair.adapters.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.ObjectKind;
import org.cowslipstair.port.StoreException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Responses of the store that are not what was asked for, or do not end. */
@Timeout(60)
final class StoreResponsesTest {
  private static final long MAX_BYTES = 256L << 20;
  private static final long TIMEOUT_MS = 20_000;
  private static final Set<ObjectKind> ZONES = Set.of(ObjectKind.ZONE);
  private final ServerSocket listener;
  private final HttpPlatformStore store;
  private final AtomicLong writtenBytes = new AtomicLong();
  private volatile String status = "200";
  private volatile String body = "";
  private volatile boolean isEndless;

  StoreResponsesTest() throws IOException {
    listener = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
    store =
        new HttpPlatformStore(
            List.of(new HostPort("127.0.0.1", listener.getLocalPort())), TIMEOUT_MS);
    Thread.ofPlatform().daemon().start(this::serve);
  }

  @AfterEach
  void close() throws IOException {
    store.close();
    listener.close();
  }

  private void serve() {
    while (!listener.isClosed()) {
      try (Socket socket = listener.accept()) {
        respond(socket);
      } catch (IOException ignored) {
        // The client has closed the connection, or the test has finished.
      }
    }
  }

  private void respond(Socket socket) throws IOException {
    BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream()));
    while (!in.readLine().isEmpty()) {
      continue;
    }
    OutputStream out = socket.getOutputStream();
    String head = "HTTP/1.1 %s OK\r\nConnection: close\r\n\r\n".formatted(status);
    out.write(head.getBytes(StandardCharsets.US_ASCII));
    out.write(body.getBytes(StandardCharsets.UTF_8));
    byte[] part = " ".repeat(64 * 1024).getBytes(StandardCharsets.US_ASCII);
    while (isEndless && writtenBytes.get() < MAX_BYTES) {
      out.write(part);
      writtenBytes.addAndGet(part.length);
    }
  }

  @Test
  void objectsAreRead() throws StoreException {
    body =
        """
        {"storeId":"s","revision":3,
         "objects":[{"kind":"zone","name":"z","version":3,"body":{"labels":{}}}]}""";
    assertThat(store.list(ZONES).objects(), hasSize(1));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "null",
        "[]",
        "7",
        "{}",
        "{\"storeId\":\"s\",\"revision\":3}",
        "{\"storeId\":null,\"revision\":3,\"objects\":[]}",
        "{\"storeId\":\"s\",\"revision\":3,\"objects\":{}}",
        "{\"storeId\":\"s\",\"revision\":3,\"objects\":[null]}",
        "{\"storeId\":\"s\",\"revision\":3,\"objects\":[7]}",
        "{\"storeId\":\"s\",\"revision\":3,\"objects\":[{}]}",
        "{\"storeId\":\"s\",\"revision\":\"x\",\"objects\":[]}",
        "{\"storeId\":\"s\",\"revision\":3,\"objects\":[",
        "{\"storeId\":\"s\",\"revision\":3,\"objects\":[{\"kind\":\"zone\",\"name\":\"a b\"}]}"
      })
  void responseThatIsNoListIsMalformed(String text) {
    body = text;
    assertThrows(StoreException.Malformed.class, () -> store.list(ZONES));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"null", "{}", "{\"instances\":[null]}", "{\"instances\":[{\"name\":\"g\"}]}"})
  void responseThatIsNoListOfInstancesIsMalformed(String text) {
    body = text;
    assertThrows(StoreException.Malformed.class, store::instances);
  }

  @Test
  void responseWithoutEndFailsBeforeItFillsTheMemory() {
    isEndless = true;
    assertThrows(StoreException.class, () -> store.list(ZONES));
    assertThat(writtenBytes.get(), lessThan(MAX_BYTES));
  }

  /** A store in trouble: whether a write was done is not known. */
  @ParameterizedTest
  @ValueSource(strings = {"000", "099", "600", "+20", "-20", "0200", "1000", "101"})
  void statusThatIsNoneIsALostAnswer(String odd) {
    status = odd;
    body = "{}";
    assertThrows(StoreException.AnswerLost.class, () -> store.list(ZONES));
    ObjectKey key = new ObjectKey(ObjectKind.ZONE, "z");
    assertThrows(StoreException.AnswerLost.class, () -> store.put(key, "{}", 0, "change"));
    assertThrows(StoreException.AnswerLost.class, () -> store.delete(key, 0, "change"));
  }
}
