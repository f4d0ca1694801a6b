package org.cowslipstair.edge.quarantine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.cowslipstair.edge.peer.PeerFrames;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.logic.quarantine.QuarantineMessage;
import org.cowslipstair.logic.quarantine.QuarantineSync;
import org.cowslipstair.logic.quarantine.QuarantineTable;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.traffic.BackendProcess;
import org.cowslipstair.model.traffic.RequestFingerprint;
import org.junit.jupiter.api.Test;

/**
 * A message above the size of a frame ends its connection: gateways that had been cut off from each
 * other and knew many suspects would never have learned of those of the other side.
 */
final class QuarantineMessageSizeTest {
  private static final int SUSPECTS = 128;
  private static final int CRASHES = 8;
  private static final int MAX_NAME_CHARS = 128;

  @Test
  void eachMessageFitsIntoAFrame() {
    QuarantineTable table = new QuarantineTable("g", InvariantMonitor.failing());
    for (int i = 0; i < SUSPECTS; i++) {
      RequestFingerprint fingerprint = new RequestFingerprint("%040x".formatted(i));
      for (int crash = 0; crash < CRASHES; crash++) {
        String name = "b".repeat(MAX_NAME_CHARS - 1) + crash;
        table.recordCrash(
            fingerprint,
            new BackendProcess(new BackendName(name), System.currentTimeMillis()),
            crash);
      }
    }
    List<Integer> sizes = new ArrayList<>();
    QuarantineSync.Network network =
        new QuarantineSync.Network() {
          @Override
          public void send(String gateway, QuarantineMessage message) {
            sizes.add(QuarantineCodec.encode(message, 0).length);
          }

          @Override
          public boolean isUnreachable(String gateway) {
            return false;
          }
        };
    QuarantineSync sync =
        new QuarantineSync(
            "g", table, () -> List.of("g", "other"), new Random(2807), true, network);
    sync.onResponse("other", new QuarantineMessage.Suspects(List.of()), 0);
    assertThat(sizes, hasSize(greaterThan(0)));
    assertThat(sizes, everyItem(lessThanOrEqualTo(PeerFrames.MAX_REQUEST_BYTES)));
  }
}
