package org.cowslipstair.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

/** Requests of callers that connect while a gateway starts. */
final class StartupTest {
  private final AtomicReference<RawClient> earlyClient = new AtomicReference<>();

  private void connect(int port) {
    try {
      RawClient client = new RawClient(port);
      client.write(RawClient.get("/safe/x", "early"));
      earlyClient.set(client);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Test
  void requestSentBeforeTheConfigurationIsLoadedIsForwarded()
      throws IOException, InterruptedException {
    GatewayFixture fixture =
        new GatewayFixture(1, GatewayFixture.UNLIMITED_PROBES_PER_SECOND, true, this::connect);
    try (RawClient client = earlyClient.get()) {
      assertThat(client.readResponse().status(), is(200));
    }
    fixture.close();
  }

  @Test
  void requestIsRefusedAsNotRunWithoutAConfiguration() throws IOException, InterruptedException {
    GatewayFixture fixture =
        new GatewayFixture(1, GatewayFixture.UNLIMITED_PROBES_PER_SECOND, false, this::connect);
    try (RawClient client = earlyClient.get()) {
      RawClient.Response response = client.readResponse();
      assertThat(response.status(), is(503));
      assertThat(response.header("Retry-After"), is(not("")));
    }
    fixture.close();
  }
}
