package org.cowslipstair.logic.check;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.ConfigObject;
import org.cowslipstair.model.config.ConfigSnapshot;
import org.cowslipstair.model.config.RoutingRule;
import org.cowslipstair.model.config.Service;
import org.cowslipstair.model.config.Zone;

/** Finds entries of the product's own objects that have no effect or contradict each other. */
public final class ObjectCheck {
  private static final int HEDGED_SERVERS = 2;

  private final ConfigSnapshot snapshot;
  private final List<Finding> findings = new ArrayList<>();

  private ObjectCheck(Collection<? extends ConfigObject> objects) {
    this.snapshot = ConfigSnapshot.of(0, objects);
  }

  /** Returns the findings on a complete configuration. */
  public static List<Finding> check(Collection<? extends ConfigObject> objects) {
    ObjectCheck check = new ObjectCheck(objects);
    check.checkRules();
    check.snapshot.services().forEach(check::checkService);
    check.snapshot.zones().forEach(check::checkZone);
    return List.copyOf(check.findings);
  }

  private void checkRules() {
    List<RoutingRule> rules = snapshot.rules();
    for (int i = 0; i < rules.size(); i++) {
      RoutingRule rule = rules.get(i);
      Optional<RoutingRule> hiding =
          rules.subList(0, i).stream().filter(earlier -> hides(earlier, rule)).findFirst();
      hiding.ifPresent(
          earlier ->
              add(
                  Finding.Kind.NEVER_MATCHES,
                  rule,
                  "%s is tried first and takes all its requests".formatted(earlier.key())));
    }
  }

  private static boolean hides(RoutingRule earlier, RoutingRule later) {
    boolean takesHost =
        earlier.host().isEmpty()
            || later
                .host()
                .filter(host -> host.equalsIgnoreCase(earlier.host().orElse("")))
                .isPresent();
    Set<String> methods = earlier.methods();
    boolean takesMethods =
        methods.isEmpty() || !later.methods().isEmpty() && methods.containsAll(later.methods());
    return takesHost && takesMethods && later.pathPrefix().startsWith(earlier.pathPrefix());
  }

  private void checkService(Service service) {
    List<BackendServer> selected =
        snapshot.backends().stream()
            .filter(backend -> service.backends().matches(backend.labels()))
            .toList();
    List<Zone> zones =
        snapshot.zones().stream().filter(zone -> service.zones().matches(zone.labels())).toList();
    if (selected.isEmpty()) {
      add(Finding.Kind.NEVER_MATCHES, service, "its selector matches no backend server");
    }
    if (zones.isEmpty()) {
      add(Finding.Kind.NEVER_MATCHES, service, "its selector matches no zone");
    }
    List<BackendServer> candidates = snapshot.candidates(service.name());
    if (!selected.isEmpty() && !zones.isEmpty() && candidates.isEmpty()) {
      add(
          Finding.Kind.ERROR,
          service,
          "no backend server is left: all leave, or their zones are out or not selected");
    }
    if (service.hedging() && !candidates.isEmpty() && candidates.size() < HEDGED_SERVERS) {
      add(Finding.Kind.CONTRADICTION, service, "it hedges and has one backend server");
    }
    boolean isRouted =
        snapshot.rules().stream().anyMatch(rule -> rule.service().equals(service.name()));
    if (!isRouted) {
      add(Finding.Kind.NEVER_MATCHES, service, "no routing rule leads to it");
    }
  }

  private void checkZone(Zone zone) {
    boolean isUsed =
        snapshot.backends().stream().anyMatch(backend -> backend.zone().equals(zone.name()));
    if (!isUsed) {
      add(Finding.Kind.NEVER_MATCHES, zone, "no backend server is in it");
    }
  }

  private void add(Finding.Kind kind, ConfigObject object, String problem) {
    findings.add(new Finding(kind, object.key().toString(), problem));
  }
}
