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
  private static final int MANY_REQUESTS = 60;
  private static final long NS_PER_SECOND = 1_000_000_000L;

  /** Requests of the fixture that a probe precedes before the budget is spent. */
  private static final int PROBED_REQUESTS = 2;

  /** Requests per second that a cold backend server of the fixture bears. */
  private static final double COLD_PER_SECOND = 12.5;

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

  /** Soak seed 312: one gateway carried the load of all, and a backend server fell cold. */
  @Test
  void backendThatFallsColdAfterItsLastProbeGetsNoMoreThanAColdOneBears()
      throws IOException, InterruptedException {
    GatewayFixture fixture = new GatewayFixture(1, 2);
    long startNs = System.nanoTime();
    try (RawClient client = fixture.client()) {
      for (int i = 0; i < MANY_REQUESTS; i++) {
        client.send(RawClient.get("/safe/x", "many-" + i));
      }
    }
    long elapsedSeconds = 1 + (System.nanoTime() - startNs) / NS_PER_SECOND;
    int runs = fixture.backend().receivedRequests.size();
    fixture.close();
    assertThat((double) runs - PROBED_REQUESTS, lessThan(elapsedSeconds * COLD_PER_SECOND));
  }
}
