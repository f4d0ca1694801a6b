package org.cowslipstair.soak.net;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class FaultyLinkTest {
  private static final long READ_TIMEOUT_MS = 100;
  private final AtomicInteger requestCount = new AtomicInteger();
  private LoopbackHttpServer server;
  private FaultyLink link;

  @BeforeEach
  void open() throws IOException {
    server =
        new LoopbackHttpServer(
            (request, connection) -> {
              requestCount.incrementAndGet();
              connection.writeResponse(200, Map.of("X", request.target()), request.body());
            });
    link = new FaultyLink(server.port());
  }

  @AfterEach
  void close() throws IOException {
    link.close();
    server.close();
  }

  private static HttpResponse exchange(HttpConnection connection) throws IOException {
    connection.writeRequest("POST", "/a", Map.of("Host", "h"), new byte[] {1, 2, 3});
    return connection.readResponse();
  }

  @Test
  void goodAndSlowLinksForwardAllBytes() throws IOException {
    try (HttpConnection connection = HttpConnection.open(link.port())) {
      HttpResponse response = exchange(connection);
      assertThat(response.body(), is(new byte[] {1, 2, 3}));
      assertThat(response.header("x"), is("/a"));
      link.setCondition(FaultyLink.Condition.SLOW);
      assertThat(exchange(connection).isComplete(), is(true));
    }
  }

  @Test
  void connectionThatLostBytesStaysSilentAndNewConnectionsWork() throws IOException {
    try (HttpConnection old = HttpConnection.open(link.port())) {
      exchange(old);
      old.setReadTimeoutMs(READ_TIMEOUT_MS);
      link.setCondition(FaultyLink.Condition.SILENT);
      assertThrows(SocketTimeoutException.class, () -> exchange(old));
      link.setCondition(FaultyLink.Condition.GOOD);
      assertThrows(SocketTimeoutException.class, () -> exchange(old));
      try (HttpConnection fresh = HttpConnection.open(link.port())) {
        assertThat(exchange(fresh).status(), is(200));
      }
    }
  }

  @Test
  void oneWayLinkDropsResponseButNotRequest() throws IOException {
    link.setCondition(FaultyLink.Condition.ONE_WAY);
    try (HttpConnection connection = HttpConnection.open(link.port())) {
      connection.setReadTimeoutMs(READ_TIMEOUT_MS);
      assertThrows(SocketTimeoutException.class, () -> exchange(connection));
      while (requestCount.get() == 0) {
        Thread.onSpinWait();
      }
    }
  }

  @Test
  void resetClosesOpenAndNewConnections() throws IOException {
    try (HttpConnection connection = HttpConnection.open(link.port())) {
      exchange(connection);
      link.setCondition(FaultyLink.Condition.RESET);
      assertThrows(IOException.class, () -> exchange(connection));
      assertThrows(
          IOException.class,
          () -> {
            try (HttpConnection fresh = HttpConnection.open(link.port())) {
              exchange(fresh);
            }
          });
    }
  }
}
