package org.cowslipstair.logic.config;

import org.cowslipstair.model.config.ConfigSnapshot;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.peer.ConfigMessage;

/** An action that {@link ConfigCore} requests from its caller. */
public sealed interface ConfigAction {
  /** Sends a message to one peer. */
  record Send(GatewayName to, ConfigMessage message) implements ConfigAction {}

  /** Sends a message to all peers. */
  record Broadcast(ConfigMessage message) implements ConfigAction {}

  /** Brings a configuration into force. */
  record Publish(ConfigSnapshot snapshot) implements ConfigAction {}

  /** Lists the store again before the watch resumes. */
  record Relist() implements ConfigAction {}

  /** Reports an event. */
  record Report(ConfigEvent event) implements ConfigAction {}
}
