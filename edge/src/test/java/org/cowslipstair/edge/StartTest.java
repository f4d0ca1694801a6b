package org.cowslipstair.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

/** Callers that come while a gateway starts. */
final class StartTest {
  private final AtomicReference<RawClient> early = new AtomicReference<>();

  private void connect(int port) {
    try {
      RawClient client = new RawClient(port);
      client.write(RawClient.get("/safe/x", "early"));
      early.set(client);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Test
  void requestSentBeforeTheConfigurationIsKnownIsServed() throws IOException, InterruptedException {
    EdgeRig rig = new EdgeRig(1, EdgeRig.MANY_PROBES, true, this::connect);
    try (RawClient client = early.get()) {
      assertThat(client.read().status(), is(200));
    }
    rig.close();
  }

  @Test
  void requestIsRefusedAsNotRunWhereNoConfigurationCanBeHad()
      throws IOException, InterruptedException {
    EdgeRig rig = new EdgeRig(1, EdgeRig.MANY_PROBES, false, this::connect);
    try (RawClient client = early.get()) {
      RawClient.Answer answer = client.read();
      assertThat(answer.status(), is(503));
      assertThat(answer.field("Retry-After"), is(not("")));
    }
    rig.close();
  }
}
