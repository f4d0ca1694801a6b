package org.cowslipstair.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.io.IOException;
import org.junit.jupiter.api.Test;

/**
 * Requests for which the probe budget has no probe left. A backend server that has not responded to
 * a probe can have become cold, so that it must not get more requests than a cold one.
 */
final class ProbeBudgetTest {
  private static final int REQUESTS = 20;

  @Test
  void backendWithoutAProbeResponseIsLimitedLikeAColdOne()
      throws IOException, InterruptedException {
    GatewayFixture fixture = new GatewayFixture(2, 0);
    int successCount = 0;
    try (RawClient client = fixture.client()) {
      for (int i = 0; i < REQUESTS; i++) {
        successCount += client.send(RawClient.get("/safe/x", "id-" + i)).status() == 200 ? 1 : 0;
      }
    }
    int runs = fixture.backends.stream().mapToInt(backend -> backend.receivedRequests.size()).sum();
    fixture.close();
    assertThat(successCount, is(runs));
    assertThat(successCount, greaterThan(0));
    assertThat(successCount, lessThan(REQUESTS));
  }
}
