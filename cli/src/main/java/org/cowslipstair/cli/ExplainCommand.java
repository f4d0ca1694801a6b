package org.cowslipstair.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** Shows why a call went where it went. */
final class ExplainCommand implements Command {
  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  @Parameter(description = "REQUEST_ID", required = true)
  private List<String> arguments = new ArrayList<>();

  @Override
  public String summary() {
    return "show why a call went where it went: explain REQUEST_ID";
  }

  @Override
  public CommonOptions common() {
    return common;
  }

  @Override
  public void run(Session session) throws CliException, InterruptedException {
    Arguments.require(arguments, 1, "REQUEST_ID");
    String requestId = arguments.getFirst();
    ObjectNode found = JsonNodeFactory.instance.objectNode();
    for (GatewayState gateway : GatewayCommand.states(session)) {
      switch (session.admin().get(gateway.instance().adminAddress(), "explain", requestId)) {
        case AdminClient.Answer.Found(JsonNode body) -> found.set(gateway.name(), body);
        case AdminClient.Answer.Missing _ -> {}
        case AdminClient.Answer.Failed(String reason) ->
            session.printer().progress("%s: %s".formatted(gateway.name(), reason));
      }
    }
    if (found.isEmpty()) {
      throw new CliException.NotFound("request", requestId);
    }
    session.printer().json(found);
  }
}
