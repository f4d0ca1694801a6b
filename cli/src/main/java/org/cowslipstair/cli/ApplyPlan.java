package org.cowslipstair.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.cowslipstair.logic.object.InvalidFieldsException;
import org.cowslipstair.logic.object.ObjectJson;
import org.cowslipstair.model.config.ConfigObject;
import org.cowslipstair.model.config.Labels;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.StoredObject;
import org.cowslipstair.port.PlatformStore.ObjectBatch;

/** Objects of the files compared with the store, in write order. */
record ApplyPlan(List<Step> steps) {
  /**
   * One object of the files, compared with the store.
   *
   * @param body body to write
   * @param storedVersion version in the store; 0 if there is none
   * @param differences fields that differ, as text
   */
  record Step(ObjectKey key, ObjectNode body, long storedVersion, List<String> differences) {
    String outcome() {
      if (storedVersion == 0) {
        return "create";
      }
      return differences.isEmpty() ? "unchanged" : "change";
    }

    boolean isChange() {
      return storedVersion == 0 || !differences.isEmpty();
    }
  }

  static ApplyPlan of(Collection<ConfigObject> desired, ObjectBatch stored) {
    Map<ObjectKey, StoredObject> storedByKey =
        stored.objects().stream().collect(Collectors.toMap(StoredObject::key, object -> object));
    List<Step> steps = new ArrayList<>();
    for (ConfigObject object : desired) {
      steps.add(step(object, Optional.ofNullable(storedByKey.get(object.key()))));
    }
    steps.sort(Comparator.comparing(Step::key));
    return new ApplyPlan(List.copyOf(steps));
  }

  private static Step step(ConfigObject desired, Optional<StoredObject> stored) {
    ObjectNode body = ObjectJson.writeTree(desired);
    if (stored.isEmpty()) {
      return new Step(desired.key(), body, 0, List.of());
    }
    long version = stored.get().version();
    try {
      ConfigObject current = ObjectJson.read(stored.get());
      preserveStateLabel(body, desired, current);
      return new Step(desired.key(), body, version, differences(current, body));
    } catch (InvalidFieldsException e) {
      return new Step(desired.key(), body, version, List.of("was: " + e.getMessage()));
    }
  }

  /** Copies the object's current state label, set by operators, unless the file sets one. */
  private static void preserveStateLabel(
      ObjectNode body, ConfigObject desired, ConfigObject current) {
    Optional<String> state = current.labels().get(Labels.STATE);
    if (desired.labels().get(Labels.STATE).isEmpty() && state.isPresent()) {
      body.withObjectProperty("labels").put(Labels.STATE, state.get());
    }
  }

  private static List<String> differences(ConfigObject current, ObjectNode desired) {
    ObjectNode before = ObjectJson.writeTree(current);
    TreeSet<String> fields = new TreeSet<>();
    before.fieldNames().forEachRemaining(fields::add);
    desired.fieldNames().forEachRemaining(fields::add);
    List<String> differences = new ArrayList<>();
    for (String field : fields) {
      JsonNode from = before.path(field);
      JsonNode to = desired.path(field);
      if (!from.equals(to)) {
        differences.add("%s: %s -> %s".formatted(field, format(from), format(to)));
      }
    }
    return differences;
  }

  private static String format(JsonNode node) {
    return node.isMissingNode() ? "none" : node.toString();
  }
}
