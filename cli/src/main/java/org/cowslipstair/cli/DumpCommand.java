package org.cowslipstair.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** Shows the complete state of one or all gateways. */
final class DumpCommand implements Command {
  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  @Parameter(description = "[GATEWAY]")
  private List<String> arguments = new ArrayList<>();

  @Override
  public String summary() {
    return "show the complete state of one or all gateways: dump [GATEWAY]";
  }

  @Override
  public CommonOptions common() {
    return common;
  }

  @Override
  public void run(Session session) throws CliException, InterruptedException {
    if (arguments.size() > 1) {
      throw new CliException.Usage(arguments.get(1), "one GATEWAY or none");
    }
    ObjectNode dump = JsonNodeFactory.instance.objectNode();
    for (GatewayState gateway : GatewayStates.readAll(session)) {
      if (!arguments.isEmpty() && !arguments.getFirst().equals(gateway.name())) {
        continue;
      }
      if (gateway.failure().isEmpty()) {
        dump.set(gateway.name(), gateway.at(""));
      } else {
        dump.put(gateway.name(), gateway.failure());
      }
    }
    if (dump.isEmpty() && !arguments.isEmpty()) {
      throw new CliException.NotFound("gateway", arguments.getFirst());
    }
    session.printer().json(dump);
  }
}
