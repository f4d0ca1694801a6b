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
  private static final long SILENCE_MS = 100;
  private final AtomicInteger asked = new AtomicInteger();
  private HttpStandin server;
  private FaultyLink link;

  @BeforeEach
  void open() throws IOException {
    server =
        new HttpStandin(
            (request, stream) -> {
              asked.incrementAndGet();
              stream.answer(200, Map.of("X", request.target()), request.body());
            });
    link = new FaultyLink(server.port());
  }

  @AfterEach
  void close() throws IOException {
    link.close();
    server.close();
  }

  private static HttpAnswer ask(HttpStream stream) throws IOException {
    stream.request("POST", "/a", Map.of("Host", "h"), new byte[] {1, 2, 3});
    return stream.readAnswer();
  }

  @Test
  void goodAndSlowLinksPassEverythingOn() throws IOException {
    try (HttpStream stream = HttpStream.open(link.port())) {
      HttpAnswer answer = ask(stream);
      assertThat(answer.body(), is(new byte[] {1, 2, 3}));
      assertThat(answer.header("x"), is("/a"));
      link.set(FaultyLink.Condition.SLOW);
      assertThat(ask(stream).whole(), is(true));
    }
  }

  @Test
  void connectionThatLostBytesStaysSilentWhileNewOnesWork() throws IOException {
    try (HttpStream old = HttpStream.open(link.port())) {
      ask(old);
      old.readTimeout(SILENCE_MS);
      link.set(FaultyLink.Condition.SILENT);
      assertThrows(SocketTimeoutException.class, () -> ask(old));
      link.set(FaultyLink.Condition.GOOD);
      assertThrows(SocketTimeoutException.class, () -> ask(old));
      try (HttpStream fresh = HttpStream.open(link.port())) {
        assertThat(ask(fresh).status(), is(200));
      }
    }
  }

  @Test
  void oneWayLinkLosesTheAnswerAndNotTheRequest() throws IOException {
    link.set(FaultyLink.Condition.ONE_WAY);
    try (HttpStream stream = HttpStream.open(link.port())) {
      stream.readTimeout(SILENCE_MS);
      assertThrows(SocketTimeoutException.class, () -> ask(stream));
      while (asked.get() == 0) {
        Thread.onSpinWait();
      }
    }
  }

  @Test
  void resetEndsOpenAndNewConnections() throws IOException {
    try (HttpStream stream = HttpStream.open(link.port())) {
      ask(stream);
      link.set(FaultyLink.Condition.RESET);
      assertThrows(IOException.class, () -> ask(stream));
      assertThrows(
          IOException.class,
          () -> {
            try (HttpStream fresh = HttpStream.open(link.port())) {
              ask(fresh);
            }
          });
    }
  }
}
