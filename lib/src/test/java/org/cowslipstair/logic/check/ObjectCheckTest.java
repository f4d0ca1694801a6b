package org.cowslipstair.logic.check;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.BackendServer;
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
import org.junit.jupiter.api.Test;

final class ObjectCheckTest {
  private static final ServiceName SERVICE = new ServiceName("pages");
  private static final Zone ZONE = new Zone(new ZoneName("a"), Labels.empty());
  private static final BackendServer BACKEND =
      new BackendServer(
          new BackendName("b-1"), Labels.empty(), ZONE.name(), new HostPort("10.0.0.1", 80), 2, 9);

  private static Service service(Selector backends) {
    return new Service(
        SERVICE, Labels.empty(), backends, Selector.everything(), PolicyKind.BROKER, 900, 2, false);
  }

  private static RoutingRule rule(String name, int priority, String prefix, String... methods) {
    return new RoutingRule(
        new RuleName(name),
        Labels.empty(),
        priority,
        Optional.empty(),
        prefix,
        Set.of(methods),
        SERVICE,
        Optional.empty(),
        false);
  }

  private static List<String> texts(List<Finding> findings) {
    return findings.stream().map(Finding::toString).toList();
  }

  @Test
  void ruleBehindAWiderOneOfHigherPriorityNeverMatches() {
    List<Finding> findings =
        ObjectCheck.check(
            List.of(
                ZONE,
                BACKEND,
                service(Selector.everything()),
                rule("all", 5, "/"),
                rule("orders", 0, "/orders/", "POST")));
    assertThat(
        texts(findings),
        contains(
            "never matches: routing-rule/orders: routing-rule/all is tried first and takes all its"
                + " requests"));
  }

  @Test
  void selectorThatMatchesNothingIsFound() {
    Selector nothing = new Selector(List.of(new Requirement.Present("app")));
    List<Finding> findings =
        ObjectCheck.check(List.of(ZONE, BACKEND, service(nothing), rule("all", 0, "/")));
    assertThat(
        texts(findings),
        contains("never matches: service/pages: its selector matches no backend server"));
  }
}
