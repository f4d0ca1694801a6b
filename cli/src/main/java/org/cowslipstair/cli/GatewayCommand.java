package org.cowslipstair.cli;

import java.util.List;
import org.cowslipstair.port.StoreException;

/** Reads the states of gateways for commands. */
final class GatewayCommand {
  private GatewayCommand() {}

  static List<GatewayState> states(Session session) throws CliException, InterruptedException {
    try {
      return GatewayState.readAll(session.store(), session.admin());
    } catch (StoreException e) {
      throw CliException.of(e);
    }
  }
}
