package org.cowslipstair.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import java.util.ArrayList;
import java.util.List;

/** Tells gateways to follow a store that they refused after it was restored. */
final class StoreCommand implements Command {
  private static final String ACCEPTED = "accept STORE_ID";

  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  @Parameter(description = ACCEPTED, required = true)
  private List<String> arguments = new ArrayList<>();

  @Override
  public String summary() {
    return "follow a restored store: store accept STORE_ID";
  }

  @Override
  public CommonOptions common() {
    return common;
  }

  @Override
  public void run(Session session) throws CliException, InterruptedException {
    Arguments.require(arguments, 2, ACCEPTED);
    if (!"accept".equals(arguments.getFirst())) {
      throw new CliException.Usage(arguments.getFirst(), ACCEPTED);
    }
    String storeId = session.objects().list().storeId().value();
    if (!storeId.equals(arguments.getLast())) {
      throw new CliException.NotFound("store", arguments.getLast());
    }
    List<String> failures = new ArrayList<>();
    for (GatewayState gateway : GatewayCommand.states(session)) {
      AdminClient.Answer answer =
          session.admin().post(gateway.instance().adminAddress(), "store", "accept", storeId);
      if (!(answer instanceof AdminClient.Answer.Found)) {
        failures.add("%s (%s)".formatted(gateway.name(), reason(answer)));
      }
    }
    if (!failures.isEmpty()) {
      throw new CliException.GatewaysFailed(failures);
    }
    session.printer().line("store %s accepted".formatted(storeId));
    session.awaitInForce(session.objects().list().revision());
  }

  private static String reason(AdminClient.Answer answer) {
    return switch (answer) {
      case AdminClient.Answer.Found _ -> "";
      case AdminClient.Answer.Missing _ -> "does not know the request";
      case AdminClient.Answer.Failed(String reason) -> reason;
    };
  }
}
