package org.cowslipstair.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;

import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

final class CrashLogTest {
  private static String lost(long timestampMs, String gateway, String backend, String fingerprint) {
    return ("1.0 g {\"timestamp\":%d,\"mdc\":{\"id\":\"%d\",\"gateway\":\"%s\",\"backend\":\"%s\","
            + "\"fingerprint\":\"%s\"},\"formattedMessage\":\"exchange: answer\"}")
        .formatted(timestampMs, timestampMs, gateway, backend, fingerprint);
  }

  @Test
  void requestThatEndedMostServersComesFirst() {
    CrashLog crashes = new CrashLog();
    crashes.addLog(
        Stream.of(
            lost(10, "g-1", "b-1", "popular"),
            lost(11, "g-2", "b-1", "deadly"),
            "noise \"fingerprint\" {cut",
            lost(40, "g-1", "b-2", "deadly")));
    assertThat(
        crashes.requests(),
        contains(
            "deadly ended connections of 2 servers, as 2 requests at 2 gateways, in 29 ms",
            "popular ended connections of 1 servers, as 1 requests at 1 gateways, in 0 ms"));
    assertThat(crashes.backends(), contains("b-1 had deadly popular", "b-2 had deadly"));
  }
}
