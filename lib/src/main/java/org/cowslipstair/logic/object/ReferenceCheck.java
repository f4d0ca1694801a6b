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

/** Finds references to objects that do not exist in a complete configuration. */
public final class ReferenceCheck {
  private final Set<ObjectKey> existingKeys;
  private final Map<ObjectKey, List<FieldError>> errors = new TreeMap<>();

  private ReferenceCheck(Collection<? extends ConfigObject> objects) {
    this.existingKeys = objects.stream().map(ConfigObject::key).collect(Collectors.toSet());
  }

  /** Returns the errors of each object that refers to a missing object. */
  public static Map<ObjectKey, List<FieldError>> findErrors(
      Collection<? extends ConfigObject> objects) {
    ReferenceCheck check = new ReferenceCheck(objects);
    objects.forEach(check::checkReferences);
    return check.errors;
  }

  private void checkReferences(ConfigObject object) {
    switch (object) {
      case BackendServer backend ->
          requireExists(object, "zone", new ObjectKey(ObjectKind.ZONE, backend.zone().value()));
      case RoutingRule rule ->
          requireExists(
              object, "service", new ObjectKey(ObjectKind.SERVICE, rule.service().value()));
      case Zone _, Service _ -> {}
    }
  }

  private void requireExists(ConfigObject object, String field, ObjectKey referencedKey) {
    if (existingKeys.contains(referencedKey)) {
      return;
    }
    FieldError error =
        new FieldError(
            FieldError.Kind.UNKNOWN_REFERENCE,
            field,
            referencedKey.name(),
            "the name of a %s that exists".formatted(referencedKey.kind().wireName()));
    errors.computeIfAbsent(object.key(), _ -> new ArrayList<>()).add(error);
  }
}
