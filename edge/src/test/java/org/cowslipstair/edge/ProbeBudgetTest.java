package org.cowslipstair.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.io.IOException;
import org.junit.jupiter.api.Test;

/** Requests for which there is no probe left. */
final class ProbeBudgetTest {
  private static final int REQUESTS = 20;

  @Test
  void serverThatWasNotHeardOfMayBeColdAndGetsNoMoreThanAColdOne()
      throws IOException, InterruptedException {
    EdgeRig rig = new EdgeRig(2, 0);
    int served = 0;
    try (RawClient client = rig.client()) {
      for (int i = 0; i < REQUESTS; i++) {
        served += client.ask(RawClient.get("/safe/x", "id-" + i)).status() == 200 ? 1 : 0;
      }
    }
    int runs = rig.backends.stream().mapToInt(backend -> backend.received.size()).sum();
    rig.close();
    assertThat(served, is(runs));
    assertThat(served, greaterThan(0));
    assertThat(served, lessThan(REQUESTS));
  }
}
