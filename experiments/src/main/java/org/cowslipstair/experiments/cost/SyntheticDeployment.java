package org.cowslipstair.experiments.cost;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cowslipstair.experiments.fleet.Deployment;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.ConfigObject;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.Labels;
import org.cowslipstair.model.config.PolicyKind;
import org.cowslipstair.model.config.Requirement;
import org.cowslipstair.model.config.RoutingRule;
import org.cowslipstair.model.config.RuleName;
import org.cowslipstair.model.config.Selector;
import org.cowslipstair.model.config.Service;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.config.Zone;
import org.cowslipstair.model.config.ZoneName;

/**
 * A deployment of any size.
 *
 * @param slots slots of each backend server
 */
public record SyntheticDeployment(int zones, int services, int backends, int slots) {
  private static final int MAX_CONNECTIONS = 260;
  private static final long TIMEOUT_MS = 5_000;
  private static final String APP = "app";

  /** Returns the configuration; backend servers are spread over services, then over zones. */
  public Deployment build() {
    List<ConfigObject> objects = new ArrayList<>();
    for (int i = 0; i < zones; i++) {
      objects.add(new Zone(zone(i), Labels.empty()));
    }
    for (int i = 0; i < services; i++) {
      objects.add(service(i));
      objects.add(rule(i));
    }
    for (int i = 0; i < backends; i++) {
      objects.add(backend(i));
    }
    return new Deployment("synthetic", objects);
  }

  private static ZoneName zone(int number) {
    return new ZoneName("zone-" + number);
  }

  private static String app(int number) {
    return "service-" + number;
  }

  private static Service service(int number) {
    return new Service(
        new ServiceName(app(number)),
        Labels.empty(),
        new Selector(List.of(new Requirement.Equal(APP, app(number)))),
        Selector.everything(),
        PolicyKind.BROKER,
        TIMEOUT_MS,
        2,
        true);
  }

  private static RoutingRule rule(int number) {
    return new RoutingRule(
        new RuleName(app(number)),
        Labels.empty(),
        0,
        Optional.of(app(number) + ".example"),
        "/",
        Set.of(),
        new ServiceName(app(number)),
        Optional.empty(),
        false);
  }

  private BackendServer backend(int number) {
    return new BackendServer(
        new BackendName("backend-" + number),
        Labels.empty().with(APP, app(number % services)),
        zone(number / services % zones),
        new HostPort("127.0.0.1", 1),
        slots,
        MAX_CONNECTIONS);
  }
}
