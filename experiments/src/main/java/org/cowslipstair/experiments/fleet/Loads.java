package org.cowslipstair.experiments.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cowslipstair.experiments.load.ServiceLoad;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.RoutingRule;
import org.cowslipstair.model.config.Service;

/** Makes the load of a deployment from its sizes. */
public final class Loads {
  private static final double US_PER_S = 1e6;

  private Loads() {}

  /**
   * Returns a load on each service.
   *
   * @param utilization share of all slots that is busy on average, 0 to 1
   * @param serviceTimeUs mean time that a call takes on a backend server
   */
  public static List<ServiceLoad> of(
      Deployment deployment,
      double utilization,
      long serviceTimeUs,
      double nonIdempotentShare,
      int answerBytes) {
    List<ServiceLoad> loads = new ArrayList<>();
    for (Service service : deployment.services()) {
      int slots = deployment.backendsOf(service).stream().mapToInt(BackendServer::slots).sum();
      double callsPerSecond = utilization * slots * US_PER_S / serviceTimeUs;
      loads.add(
          new ServiceLoad(
              service.name().value(),
              hostOf(deployment, service),
              "/",
              callsPerSecond,
              nonIdempotentShare,
              answerBytes));
    }
    return loads;
  }

  private static String hostOf(Deployment deployment, Service service) {
    for (RoutingRule rule : deployment.rules()) {
      Optional<String> host = rule.host();
      if (rule.service().equals(service.name()) && host.isPresent()) {
        return host.get();
      }
    }
    throw new IllegalArgumentException(
        "service \"%s\" has no routing rule with a host".formatted(service.name()));
  }
}
