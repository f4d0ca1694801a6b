package org.cowslipstair.logic.call;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.OptionalLong;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.pool.PoolId;
import org.junit.jupiter.api.Test;

class HedgeDelaysTest {
  private static final PoolId HOME = pool("watch", "a");
  private static final PoolId OTHER_ZONE = pool("watch", "b");
  private static final PoolId OTHER_SERVICE = pool("ledger", "a");
  private final HedgeDelays delays = new HedgeDelays(1);

  private static PoolId pool(String service, String zone) {
    return new PoolId(new ServiceName(service), new ZoneName(zone));
  }

  private void addMany(PoolId pool, long timeNs) {
    for (int i = 0; i < 64; i++) {
      delays.add(pool, timeNs);
    }
  }

  @Test
  void poolWithFewSamplesTakesTheDelayOfItsService() {
    addMany(HOME, 100);
    delays.add(OTHER_ZONE, 500);

    assertThat(delays.delayNs(HOME), is(OptionalLong.of(100)));
    assertThat(delays.delayNs(OTHER_ZONE), is(OptionalLong.of(100)));
    assertThat(delays.delayNs(OTHER_SERVICE), is(OptionalLong.empty()));
  }

  @Test
  void poolWithSamplesOfItsOwnHasItsOwnDelay() {
    addMany(HOME, 100);
    addMany(OTHER_ZONE, 300);

    assertThat(delays.delayNs(OTHER_ZONE), is(OptionalLong.of(300)));
  }
}
