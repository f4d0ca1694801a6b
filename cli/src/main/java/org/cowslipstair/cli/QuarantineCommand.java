package org.cowslipstair.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.StreamSupport;
import org.cowslipstair.model.config.HostPort;
import org.jspecify.annotations.Nullable;

/**
 * Shows the requests under which backend servers have crashed and whether the gateways hold them
 * back, or releases one. Asks a gateway on the users' platform; all of them know the same.
 */
final class QuarantineCommand implements Command {
  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  @Parameter(description = "HOST:PORT", required = true)
  private List<String> arguments = new ArrayList<>();

  @Parameter(names = "--release", description = "fingerprint of a request to send again")
  private @Nullable String released;

  @Override
  public String summary() {
    return "show requests that crash servers, or release one: quarantine HOST:PORT [--release F]";
  }

  @Override
  public CommonOptions common() {
    return common;
  }

  @Override
  public void run(Session session) throws CliException {
    if (arguments.size() != 1) {
      throw new CliException.Usage(String.join(" ", arguments), "one HOST:PORT");
    }
    String gateway = arguments.getFirst();
    HostPort address =
        HostPort.parse(gateway)
            .orElseThrow(() -> new CliException.Usage(gateway, "host:port of a ready address"));
    AdminClient.Result result =
        released == null
            ? session.admin().get(address, "state")
            : session.admin().post(address, "quarantine", "release", released);
    switch (result) {
      case AdminClient.Result.Success(JsonNode state) when released == null ->
          suspects(state).forEach(line -> session.printer().line(line));
      case AdminClient.Result.Success _ -> session.printer().line("released " + released);
      case AdminClient.Result.NotFound _ ->
          throw new CliException.NotFound("suspected request", String.valueOf(released));
      case AdminClient.Result.Failure(String reason) ->
          throw new CliException.GatewaysFailed(List.of(gateway + " (" + reason + ")"));
    }
  }

  /** Returns a line for each suspected request in the state of a gateway. */
  static List<String> suspects(JsonNode state) {
    return StreamSupport.stream(state.path("suspectedRequests").spliterator(), false)
        .map(
            suspect ->
                "%s %s, crashes %d, trials %d, seen %d ms ago, ran on %s"
                    .formatted(
                        suspect.path("fingerprint").asText(),
                        suspect.path("heldBack").asBoolean() ? "held back" : "suspected",
                        suspect.path("crashes").asInt(),
                        suspect.path("trials").asInt(),
                        suspect.path("lastSeenMs").asLong(),
                        String.join(" ", backends(suspect))))
        .toList();
  }

  private static List<String> backends(JsonNode suspect) {
    return StreamSupport.stream(suspect.path("ranOn").spliterator(), false)
        .map(JsonNode::asText)
        .toList();
  }
}
