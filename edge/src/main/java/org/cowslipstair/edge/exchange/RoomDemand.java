package org.cowslipstair.edge.exchange;

import java.util.Set;
import org.cowslipstair.logic.overload.Urgency;
import org.cowslipstair.logic.placement.PlacementRule;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.traffic.Route;

/**
 * What one request needs of the backend servers of its service: the work, the time by which it has
 * to start, and whether it can wait. Used on the event loop only.
 */
final class RoomDemand {
  private final ExchangeContext context;
  private final RequestMessage message;
  private final Route route;
  private final ServiceName service;
  private final ExchangeTimer timer;
  private final int priority;
  private boolean hasWaited;

  RoomDemand(
      ExchangeContext context,
      RequestMessage message,
      Route route,
      ServiceName service,
      ExchangeTimer timer) {
    this.context = context;
    this.message = message;
    this.route = route;
    this.service = service;
    this.timer = timer;
    this.priority = admissionRequest().priority();
  }

  /** Returns what the steps of the admission may know. */
  AdmissionStep.Request admissionRequest() {
    ExchangeDeadlines deadlines = timer.deadlines();
    return new AdmissionStep.Request(
        message.tenant(),
        route,
        service,
        deadlines.arrivedNs(),
        deadlines.targetNs(),
        deadlines.finalNs(),
        serviceTimeNs());
  }

  /** Returns the expected time that a backend server at its usual pace works on it. */
  double serviceTimeNs() {
    return context.serviceTimes().averageNs(route.name(), route.targetLatencyMs());
  }

  /** Records that the request has waited for room. */
  void recordWait() {
    hasWaited = true;
  }

  private PlacementRule.Waiting waiting() {
    ExchangeDeadlines deadlines = timer.deadlines();
    long usableNs = Math.min(deadlines.targetNs(), deadlines.finalNs()) - deadlines.arrivedNs();
    return PlacementRule.Waiting.of(
        PlacementRule.isPatient(serviceTimeNs(), usableNs),
        context.hasMoreUrgent(service, route, priority));
  }

  /**
   * Returns what the next selection looks for.
   *
   * @param excluded backend servers that must not be selected
   */
  SelectionCriteria criteria(Set<BackendName> excluded, boolean isHedge) {
    PlacementRule rule =
        timer
            .deadlines()
            .placementRule(serviceTimeNs(), isHedge, waiting(), hasWaited, context.nowNs());
    Urgency urgency = new Urgency(priority, rule.latestStartNs(), serviceTimeNs());
    return new SelectionCriteria(
        service, Set.copyOf(excluded), rule, context.fleet().versions().choose(service), urgency);
  }
}
