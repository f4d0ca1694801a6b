package org.cowslipstair.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

final class RequestTimelineTest {
  private static final String ENDED =
      "{\"timestamp\":1200,\"mdc\":{\"id\":\"a1\",\"gateway\":\"g-2\",\"outcome\":\"no_free_slot\","
          + "\"status\":\"503\",\"detail\":\"asked=3\"},\"formattedMessage\":\"exchange: ended\"}";
  private static final String SENT =
      "  12.5 g-1 {\"timestamp\":1000,\"mdc\":{\"id\":\"a1\",\"gateway\":\"g-1\",\"cause\":\"first\","
          + "\"backend\":\"b\"},\"formattedMessage\":\"exchange: sent\"}";
  private static final String OTHER =
      "{\"timestamp\":1100,\"mdc\":{\"id\":\"other\"},\"formattedMessage\":\"about a1\"}";

  @Test
  void mergesTheLinesOfSeveralGatewaysByTime() {
    RequestTimeline timeline = new RequestTimeline("a1");
    timeline.addLog(Stream.of(ENDED, "a1 {not json", "a1", OTHER));
    timeline.addLog(Stream.of(SENT));
    assertThat(
        timeline.entries(),
        contains(
            "+0 ms  g-1  exchange: sent cause=first backend=b",
            "+200 ms  g-2  exchange: ended outcome=no_free_slot status=503 detail=asked=3"));
  }

  @Test
  void unknownRequestHasNoEntries() {
    RequestTimeline timeline = new RequestTimeline("a2");
    timeline.addLog(Stream.of(ENDED));
    assertThat(timeline.entries(), empty());
  }
}
