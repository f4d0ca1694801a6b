package org.cowslipstair.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.cowslipstair.adapters.settings.InvalidFileException;
import org.cowslipstair.adapters.settings.TomlDocument;
import org.cowslipstair.model.config.HostPort;
import org.junit.jupiter.api.Test;

class GatewaySettingsTest {
  private static final String VALID =
      """
      name = "gw-a"
      zone = "tz-north-a"
      caller_address = "127.0.0.1:8080"
      peer_address = "127.0.0.1:8081"
      admin_address = "127.0.0.1:8082"
      store_addresses = ["127.0.0.1:7000", "127.0.0.1:7001"]
      peer_key = "sixteen characters or more"
      """;

  private static GatewaySettings parse(String text) throws InvalidFileException {
    return GatewaySettings.from(TomlDocument.parse("gateway.toml", text));
  }

  private static List<String> faultsOf(String text) {
    return assertThrows(InvalidFileException.class, () -> parse(text)).faults().stream()
        .map(Object::toString)
        .sorted()
        .toList();
  }

  @Test
  void validSettingsAreParsed() throws InvalidFileException {
    GatewaySettings settings = parse(VALID + "stop_notice_ms = 10\n[limits]\nmax_body_bytes = 5\n");

    assertThat(settings.callerAddress(), is(new HostPort("127.0.0.1", 8080)));
    assertThat(settings.storeAddresses().size(), is(2));
    assertThat(settings.stopNoticeMs(), is(10L));
    assertThat(settings.limits().maxBodyBytes(), is(5L));
  }

  @Test
  void invalidSettingsReportEveryFaultWithItsLine() {
    String text =
        VALID.replace("127.0.0.1:8081", "nowhere").replace("sixteen characters or more", "short")
            + "colour = \"blue\"\n";

    assertThat(
        faultsOf(text),
        contains(
            containsString("gateway.toml:4: peer_address"),
            containsString("gateway.toml:7: peer_key"),
            containsString("gateway.toml:8: colour")));
  }

  @Test
  void peerKeyIsRequiredAndNeverPrinted() throws InvalidFileException {
    String withoutKey = VALID.replace("peer_key = \"sixteen characters or more\"\n", "");
    String shortKey = VALID.replace("sixteen characters or more", "hush");

    assertThat(faultsOf(withoutKey), contains(containsString("peer_key")));
    assertThat(faultsOf(shortKey).toString(), not(containsString("hush")));
    assertThat(parse(VALID).toString(), not(containsString("sixteen")));
  }
}
