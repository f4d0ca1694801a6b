package org.cowslipstair.cli;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.cowslipstair.port.PlatformStore.ObjectBatch;

/** Shows for each gateway which configuration it has in force. */
@Parameters(commandDescription = "show each gateway: version in force, lag, pools, limits")
final class StatusCommand implements Command {
  private static final List<String> HEADERS =
      List.of("gateway", "zone", "state", "revision", "lag", "store", "pools", "problem");

  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  @Override
  public CommonOptions common() {
    return common;
  }

  @Override
  public void run(Session session) throws CliException, InterruptedException {
    ObjectBatch stored = session.objects().list();
    List<List<String>> rows = new ArrayList<>();
    for (GatewayState gateway : GatewayCommand.states(session)) {
      rows.add(row(gateway, stored));
    }
    session
        .printer()
        .progress("store %s at revision %d".formatted(stored.storeId(), stored.revision()));
    session.printer().rows(HEADERS, rows);
  }

  private static List<String> row(GatewayState gateway, ObjectBatch stored) {
    boolean isKnown = gateway.failure().isEmpty();
    boolean sameStore = gateway.storeId().equals(stored.storeId().value());
    long lag = Math.max(0, stored.revision() - gateway.revision());
    JsonNode pools = gateway.at("/pools");
    return List.of(
        gateway.name(),
        gateway.instance().zone().value(),
        gateway.instance().leaving() ? "leaving" : "live",
        isKnown ? Long.toString(gateway.revision()) : "?",
        isKnown && sameStore ? Long.toString(lag) : "?",
        isKnown ? (sameStore ? "same" : "other: " + gateway.storeId()) : "?",
        pools.isMissingNode() ? "?" : Integer.toString(pools.size()),
        isKnown ? gateway.at("/config/refused").asText("") : gateway.failure());
  }
}
