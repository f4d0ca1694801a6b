package org.cowslipstair.logic.call;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.OptionalLong;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.pool.PoolId;
import org.junit.jupiter.api.Test;

class HedgeDelaysTest {
  private static final PoolId HOME_POOL = pool("watch", "a");
  private static final PoolId OTHER_ZONE_POOL = pool("watch", "b");
  private static final PoolId OTHER_SERVICE_POOL = pool("ledger", "a");
  private final HedgeDelays delays = new HedgeDelays(1);

  private static PoolId pool(String service, String zone) {
    return new PoolId(new ServiceName(service), new ZoneName(zone));
  }

  private void recordMany(PoolId pool, long responseTimeNs) {
    for (int i = 0; i < 64; i++) {
      delays.record(pool, responseTimeNs);
    }
  }

  @Test
  void poolWithFewSamplesUsesTheDelayOfItsService() {
    recordMany(HOME_POOL, 100);
    delays.record(OTHER_ZONE_POOL, 500);

    assertThat(delays.delayNs(HOME_POOL), is(OptionalLong.of(100)));
    assertThat(delays.delayNs(OTHER_ZONE_POOL), is(OptionalLong.of(100)));
    assertThat(delays.delayNs(OTHER_SERVICE_POOL), is(OptionalLong.empty()));
  }

  @Test
  void poolWithEnoughSamplesUsesItsOwnDelay() {
    recordMany(HOME_POOL, 100);
    recordMany(OTHER_ZONE_POOL, 300);

    assertThat(delays.delayNs(OTHER_ZONE_POOL), is(OptionalLong.of(300)));
  }
}
