package org.cowslipstair.logic.object;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.ConfigObject;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.ObjectKind;
import org.cowslipstair.model.config.RoutingRule;
import org.cowslipstair.model.config.Service;
import org.cowslipstair.model.config.Zone;

/** Finds names of objects that do not exist in a whole configuration. */
public final class ReferenceCheck {
  private final Set<ObjectKey> keys;
  private final Map<ObjectKey, List<FieldFault>> faults = new TreeMap<>();

  private ReferenceCheck(Collection<? extends ConfigObject> objects) {
    this.keys = objects.stream().map(ConfigObject::key).collect(Collectors.toSet());
  }

  /** Returns the faults of each object that refers to a missing one. */
  public static Map<ObjectKey, List<FieldFault>> faults(
      Collection<? extends ConfigObject> objects) {
    ReferenceCheck check = new ReferenceCheck(objects);
    objects.forEach(check::add);
    return check.faults;
  }

  private void add(ConfigObject object) {
    switch (object) {
      case BackendServer backend ->
          require(object, "zone", new ObjectKey(ObjectKind.ZONE, backend.zone().value()));
      case RoutingRule rule ->
          require(object, "service", new ObjectKey(ObjectKind.SERVICE, rule.service().value()));
      case Zone _, Service _ -> {}
    }
  }

  private void require(ConfigObject object, String field, ObjectKey wanted) {
    if (keys.contains(wanted)) {
      return;
    }
    FieldFault fault =
        new FieldFault(
            FieldFault.Kind.UNKNOWN_REFERENCE,
            field,
            wanted.name(),
            "the name of a %s that exists".formatted(wanted.kind().wireName()));
    faults.computeIfAbsent(object.key(), _ -> new ArrayList<>()).add(fault);
  }
}
