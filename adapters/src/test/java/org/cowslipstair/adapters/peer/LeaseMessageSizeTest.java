package org.cowslipstair.adapters.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import java.util.Set;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.peer.LeaseMessage;
import org.cowslipstair.model.peer.LeaseMessage.Acquire;
import org.cowslipstair.model.peer.LeaseMessage.FullPoolPolicy;
import org.cowslipstair.model.peer.LeaseMessage.Grant;
import org.cowslipstair.model.peer.LeaseMessage.Release;
import org.cowslipstair.model.peer.LeaseMessage.Reuse;
import org.cowslipstair.model.pool.CallOutcome;
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.model.pool.PoolId;
import org.junit.jupiter.api.Test;

/** Payload of the lease messages once a connection knows the names in them. */
class LeaseMessageSizeTest {
  private static final PoolId POOL =
      new PoolId(new ServiceName("watch"), new ZoneName("tz-north-a"));
  private static final long REQUEST = 1_000_000;
  private static final CallReport REPORT = new CallReport(CallOutcome.ANSWERED, 20_000_000L);

  private static int sizeBytes(LeaseMessage message) {
    WireWriter out = new WireWriter(new NameTable());
    PeerCodec.write(message, out);
    int first = out.sizeBytes();
    PeerCodec.write(message, out);
    return out.sizeBytes() - first;
  }

  @Test
  void callUnderItsOwnLeaseCostsFewBytes() {
    Acquire acquire = new Acquire(POOL, REQUEST, 1_000_000_000L, FullPoolPolicy.REFUSE, Set.of());
    Grant grant = new Grant(POOL, REQUEST, new BackendName("watch-7"), 3_000_000_000L, true, 9);
    Release release = new Release(POOL, REQUEST, REPORT);
    int total = 0;
    for (LeaseMessage message : List.of(acquire, grant, release)) {
      total += sizeBytes(message);
    }

    assertThat(total, lessThanOrEqualTo(42));
  }

  @Test
  void callUnderAnIdleLeaseCostsOneMessage() {
    assertThat(sizeBytes(new Reuse(POOL, REQUEST, REPORT)), lessThanOrEqualTo(13));
  }
}
