package org.cowslipstair.edge.exchange;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.cowslipstair.edge.backend.BackendEntry;
import org.cowslipstair.edge.http.ServerConnection;
import org.cowslipstair.logic.placement.LatencyEstimate;
import org.cowslipstair.logic.placement.PlacementRule;
import org.cowslipstair.model.traffic.LoadReport;

/**
 * A backend server that a selection has found.
 *
 * @param connection connection to it; empty if one must be acquired
 * @param permitUntilNs monotonic time until which a permit allows the request; empty if there is no
 *     permit
 */
record RankedBackend(
    BackendEntry entry,
    boolean isLocal,
    Optional<ServerConnection> connection,
    OptionalLong permitUntilNs,
    Optional<LoadReport> load,
    LatencyEstimate estimate) {
  PlacementRule.Option option() {
    return new PlacementRule.Option(estimate, isLocal);
  }

  /** Returns whether its connection cannot carry the request any more. */
  boolean isConnectionLost() {
    return connection.isPresent() && !connection.get().isIdle();
  }

  /**
   * Describes the load of the backend servers found, for logs.
   *
   * @param known number of backend servers that may get requests
   * @param asked number of them that were probed
   */
  static String describe(int known, int asked, List<RankedBackend> found) {
    StringBuilder text = new StringBuilder();
    text.append("known=").append(known);
    text.append(" asked=").append(asked);
    text.append(" answered=").append(found.size());
    for (RankedBackend backend : found) {
      String load =
          backend.load.map(l -> l.running() + "+" + l.waiting() + "/" + l.slots()).orElse("?");
      text.append(' ').append(backend.entry.stats().instance().name()).append('=').append(load);
    }
    return text.toString();
  }
}
