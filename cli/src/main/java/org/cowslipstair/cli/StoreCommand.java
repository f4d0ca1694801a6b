package org.cowslipstair.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import java.util.ArrayList;
import java.util.List;

/** Makes gateways accept a restored store that they refused. */
final class StoreCommand implements Command {
  private static final String SYNTAX = "accept STORE_ID";

  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  @Parameter(description = SYNTAX, required = true)
  private List<String> arguments = new ArrayList<>();

  @Override
  public String summary() {
    return "accept a restored store: store accept STORE_ID";
  }

  @Override
  public CommonOptions common() {
    return common;
  }

  @Override
  public void run(Session session) throws CliException, InterruptedException {
    Arguments.requireCount(arguments, 2, SYNTAX);
    if (!"accept".equals(arguments.getFirst())) {
      throw new CliException.Usage(arguments.getFirst(), SYNTAX);
    }
    String storeId = session.objects().list().storeId().value();
    if (!storeId.equals(arguments.getLast())) {
      throw new CliException.NotFound("store", arguments.getLast());
    }
    List<String> failures = new ArrayList<>();
    for (GatewayState gateway : GatewayStates.readAll(session)) {
      AdminClient.Result result =
          session.admin().post(gateway.instance().adminAddress(), "store", "accept", storeId);
      if (!(result instanceof AdminClient.Result.Success)) {
        failures.add("%s (%s)".formatted(gateway.name(), reason(result)));
      }
    }
    if (!failures.isEmpty()) {
      throw new CliException.GatewaysFailed(failures);
    }
    session.printer().line("store %s accepted".formatted(storeId));
    session.awaitInForce(session.objects().list().revision());
  }

  private static String reason(AdminClient.Result result) {
    return switch (result) {
      case AdminClient.Result.Success _ -> "";
      case AdminClient.Result.NotFound _ -> "does not support the request";
      case AdminClient.Result.Failure(String reason) -> reason;
    };
  }
}
