package org.cowslipstair.edge.exchange;

import java.util.Optional;
import java.util.Set;
import org.cowslipstair.logic.overload.Urgency;
import org.cowslipstair.logic.placement.PlacementRule;
import org.cowslipstair.logic.rollout.VersionChoice;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.ServiceName;

/**
 * Requirements of the selection of a backend server.
 *
 * @param excluded backend servers that must not be selected
 * @param versions versions of the service that may be selected
 * @param urgency order of the request among those that wait for room
 */
record SelectionCriteria(
    ServiceName service,
    Set<BackendName> excluded,
    PlacementRule rule,
    VersionChoice versions,
    Urgency urgency) {
  /** Returns the requirements if no backend server meets these; empty if there are none. */
  Optional<SelectionCriteria> alternative() {
    return versions
        .alternative()
        .map(other -> new SelectionCriteria(service, excluded, rule, other, urgency));
  }
}
