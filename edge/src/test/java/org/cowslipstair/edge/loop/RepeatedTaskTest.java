package org.cowslipstair.edge.loop;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class RepeatedTaskTest {
  private static final long RUNS = 4;

  @Test
  void taskGoesOnAfterAnUnexpectedError() throws InterruptedException {
    CountDownLatch runs = new CountDownLatch((int) RUNS);
    try (ScheduledExecutorService loop = Executors.newSingleThreadScheduledExecutor()) {
      RepeatedTask.start(
          loop,
          "test",
          () -> {
            runs.countDown();
            if (runs.getCount() == RUNS - 2) {
              throw new IllegalStateException("unexpected");
            }
            return 1;
          });
      boolean isRepeated = runs.await(10 * RepeatedTask.FAILURE_DELAY_MS, TimeUnit.MILLISECONDS);
      loop.shutdownNow();
      assertThat(isRepeated, is(true));
    }
  }
}
