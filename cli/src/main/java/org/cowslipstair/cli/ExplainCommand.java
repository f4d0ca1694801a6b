package org.cowslipstair.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** Shows the routing decisions that gateways recorded for a request. */
final class ExplainCommand implements Command {
  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  @Parameter(description = "REQUEST_ID", required = true)
  private List<String> arguments = new ArrayList<>();

  @Override
  public String summary() {
    return "show the decisions made for a request: explain REQUEST_ID";
  }

  @Override
  public CommonOptions common() {
    return common;
  }

  @Override
  public void run(Session session) throws CliException, InterruptedException {
    Arguments.requireCount(arguments, 1, "REQUEST_ID");
    String requestId = arguments.getFirst();
    ObjectNode decisions = JsonNodeFactory.instance.objectNode();
    for (GatewayState gateway : GatewayStates.readAll(session)) {
      switch (session.admin().get(gateway.instance().adminAddress(), "explain", requestId)) {
        case AdminClient.Result.Success(JsonNode body) -> decisions.set(gateway.name(), body);
        case AdminClient.Result.NotFound _ -> {}
        case AdminClient.Result.Failure(String reason) ->
            session.printer().progress("%s: %s".formatted(gateway.name(), reason));
      }
    }
    if (decisions.isEmpty()) {
      throw new CliException.NotFound("request", requestId);
    }
    session.printer().json(decisions);
  }
}
