package org.cowslipstair.cli;

import java.util.List;
import org.cowslipstair.port.StoreException;

/** Reads the states of all gateways and maps store failures to command failures. */
final class GatewayStates {
  private GatewayStates() {}

  static List<GatewayState> readAll(Session session) throws CliException, InterruptedException {
    try {
      return GatewayState.readAll(session.store(), session.admin());
    } catch (StoreException e) {
      throw CliException.from(e);
    }
  }
}
