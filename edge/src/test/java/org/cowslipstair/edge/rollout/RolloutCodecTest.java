package org.cowslipstair.edge.rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.cowslipstair.edge.peer.PeerFrames;
import org.cowslipstair.logic.rollout.Directive;
import org.cowslipstair.logic.rollout.OutcomeCounts;
import org.cowslipstair.logic.rollout.RolloutReport;
import org.cowslipstair.logic.rollout.RouteCounts;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.rollout.ServiceVersion;
import org.junit.jupiter.api.Test;

final class RolloutCodecTest {
  private static final ServiceName SERVICE = new ServiceName("s");
  private static final ServiceVersion TARGET = new ServiceVersion("v2");
  private static final RouteCounts COUNTS =
      new RouteCounts(
          new OutcomeCounts(2_000_000, 2_000_000, 300_000, 10_000),
          new OutcomeCounts(9_000_000, 9_000_000, 400_000, 20_000));

  private static RolloutMessage.Report report(Map<String, RouteCounts> routes) {
    return new RolloutMessage.Report(
        new RolloutReport(SERVICE, TARGET, "g-1", -7, 1_500, true, false, routes));
  }

  @Test
  void messagesRoundTrip() throws IOException {
    RolloutMessage sent = report(Map.of("pages", COUNTS, "uploads", RouteCounts.none()));
    assertThat(RolloutCodec.decode(RolloutCodec.encode(sent)), is(sent));
    for (Optional<Directive> directive :
        List.<Optional<Directive>>of(
            Optional.empty(),
            Optional.of(new Directive.Share(0.05)),
            Optional.of(new Directive.OnlyTarget()),
            Optional.of(new Directive.OnlyOthers()))) {
      RolloutMessage told = new RolloutMessage.Told(SERVICE, TARGET, directive);
      assertThat(RolloutCodec.decode(RolloutCodec.encode(told)), is(told));
    }
  }

  /** A larger frame would end its connection. */
  @Test
  void reportOfManyRoutesFitsIntoAFrame() throws IOException {
    Map<String, RouteCounts> routes = new HashMap<>();
    for (int i = 0; i < 500; i++) {
      routes.put("route-with-a-rather-long-name-%03d".formatted(i), COUNTS);
    }
    byte[] frame = RolloutCodec.encode(report(routes));
    assertThat(frame.length, lessThanOrEqualTo(PeerFrames.MAX_REQUEST_BYTES));
    RolloutReport decoded = ((RolloutMessage.Report) RolloutCodec.decode(frame)).report();
    long sent = decoded.routes().values().stream().mapToLong(RouteCounts::sent).sum();
    assertThat(sent, is(500 * COUNTS.sent()));
  }

  @Test
  void malformedFramesAreRejected() {
    byte[] frame = RolloutCodec.encode(report(Map.of("pages", COUNTS)));
    Random random = new Random(5);
    for (int length = 1; length < frame.length; length++) {
      byte[] cut = Arrays.copyOf(frame, length);
      assertThrows(IOException.class, () -> RolloutCodec.decode(cut));
    }
    for (int i = 0; i < 2_000; i++) {
      byte[] changed = frame.clone();
      changed[random.nextInt(changed.length)] = (byte) random.nextInt();
      try {
        RolloutCodec.decode(changed);
      } catch (MalformedRolloutMessageException expected) {
        assertThat(expected.getMessage().isEmpty(), is(false));
      }
    }
  }
}
