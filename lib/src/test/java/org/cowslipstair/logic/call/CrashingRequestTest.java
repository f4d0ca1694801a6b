package org.cowslipstair.logic.call;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import org.cowslipstair.port.BackendException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Incident 6 in the other data path: a request crashes each backend server that runs it. */
final class CrashingRequestTest {
  private static final int CRASHES_UNTIL_HELD_BACK = 3;
  private static final int MAX_LATE_SENDS = 3;
  private static final int RETURNS = 20;

  private final AtomicInteger sends = new AtomicInteger();
  private final CallFixture fixture =
      new CallFixture(
          (backend, _) -> {
            sends.incrementAndGet();
            throw new BackendException.ConnectionLost(backend.name(), new IOException("crashed"));
          },
          2806);

  @AfterEach
  void close() {
    fixture.close();
  }

  @Test
  @Tag("known-red")
  void requestThatCrashesItsBackendsStopsBeingSent() throws Exception {
    for (int i = 0; i < RETURNS; i++) {
      fixture.call("return-" + i, "POST");
      fixture.nowNs.addAndGet(1_000 * CallFixture.NS_PER_MS);
    }
    assertThat(sends.get(), lessThanOrEqualTo(CRASHES_UNTIL_HELD_BACK + MAX_LATE_SENDS));
  }
}
