package org.cowslipstair.cli;

import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.cowslipstair.port.PlatformStore.ObjectBatch;

/** Shows which configuration each gateway has in force, and the pools that have a broker. */
final class StatusCommand implements Command {
  private static final List<String> GATEWAY_HEADERS =
      List.of("gateway", "zone", "state", "revision", "lag", "inProgress", "brokerOf", "problem");
  private static final List<String> POOL_HEADERS =
      List.of("pool", "broker", "backends", "warm", "limit", "busy", "waiting");
  private static final String UNKNOWN = "?";

  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  @Override
  public String summary() {
    return "show each gateway: revision in force, lag, pools, limits";
  }

  @Override
  public CommonOptions common() {
    return common;
  }

  @Override
  public void run(Session session) throws CliException, InterruptedException {
    ObjectBatch stored = session.objects().list();
    List<List<String>> gateways = new ArrayList<>();
    List<List<String>> pools = new ArrayList<>();
    for (GatewayState gateway : GatewayStates.readAll(session)) {
      gateways.add(gatewayRow(gateway, stored));
      gateway.at("/leases/brokers").forEach(broker -> pools.add(poolRow(gateway, broker)));
    }
    Printer printer = session.printer();
    if (printer.isJson()) {
      ObjectNode status = JsonNodeFactory.instance.objectNode();
      status.put("storeId", stored.storeId().value());
      status.put("revision", stored.revision());
      status.set("gateways", Printer.toJson(GATEWAY_HEADERS, gateways));
      status.set("pools", Printer.toJson(POOL_HEADERS, pools));
      printer.json(status);
      return;
    }
    printer.line("store %s at revision %d".formatted(stored.storeId(), stored.revision()));
    printer.rows(GATEWAY_HEADERS, gateways);
    printer.line("");
    printer.rows(POOL_HEADERS, pools);
  }

  private static List<String> gatewayRow(GatewayState gateway, ObjectBatch stored) {
    boolean isAvailable = gateway.failure().isEmpty();
    boolean isSameStore = gateway.storeId().equals(stored.storeId().value());
    long lag = Math.max(0, stored.revision() - gateway.revision());
    return List.of(
        gateway.name(),
        gateway.instance().zone().value(),
        gateway.instance().leaving() ? "leaving" : "live",
        isAvailable ? Long.toString(gateway.revision()) : UNKNOWN,
        isAvailable && isSameStore ? Long.toString(lag) : UNKNOWN,
        isAvailable ? gateway.at("/callsInProgress").asText(UNKNOWN) : UNKNOWN,
        isAvailable ? Integer.toString(gateway.at("/leases/brokers").size()) : UNKNOWN,
        String.join("; ", gateway.problems(stored.storeId().value())));
  }

  private static List<String> poolRow(GatewayState gateway, JsonNode broker) {
    int warm = 0;
    int limit = 0;
    int busy = 0;
    for (JsonNode backend : broker.path("backends")) {
      warm += "Warm".equals(backend.at("/state/type").asText()) ? 1 : 0;
      limit += backend.path("limit").asInt();
      busy += backend.path("out").asInt();
    }
    return List.of(
        broker.path("pool").asText(),
        gateway.name(),
        Integer.toString(broker.path("backends").size()),
        Integer.toString(warm),
        Integer.toString(limit),
        Integer.toString(busy),
        broker.path("queueLength").asText());
  }
}
