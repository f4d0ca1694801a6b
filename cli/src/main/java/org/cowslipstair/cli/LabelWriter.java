package org.cowslipstair.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.cowslipstair.logic.object.InvalidFieldsException;
import org.cowslipstair.logic.object.ObjectJson;
import org.cowslipstair.model.config.ConfigObject;
import org.cowslipstair.model.config.Labels;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.StoredObject;
import org.cowslipstair.port.StoreException;

/**
 * Changes labels of an object. If another client changed the object concurrently, the change is
 * reapplied to the new version, unless that client changed the same label.
 */
final class LabelWriter {
  private static final int MAX_ATTEMPTS = 20;

  private final ObjectStore objects;

  LabelWriter(ObjectStore objects) {
    this.objects = objects;
  }

  /**
   * Result of a change.
   *
   * @param version version of the object that has the desired labels
   * @param isChanged whether a write was necessary
   */
  record Result(long version, boolean isChanged) {}

  Result change(ObjectKey key, LabelEdit edit) throws CliException, InterruptedException {
    StoredObject stored = objects.get(key);
    Labels base = read(stored).labels();
    for (int attempt = 1; true; attempt++) {
      ConfigObject current = read(stored);
      Optional<LabelEdit.Conflict> conflict = edit.findConflict(base, current.labels());
      if (conflict.isPresent()) {
        LabelEdit.Conflict labelConflict = conflict.get();
        throw new CliException.LabelConflict(
            key, labelConflict.label(), labelConflict.currentValue(), labelConflict.desiredValue());
      }
      Labels desired = edit.applyTo(current.labels());
      if (desired.equals(current.labels())) {
        return new Result(stored.version(), false);
      }
      try {
        long version = objects.put(key, bodyWithLabels(current, desired), stored.version());
        return new Result(version, true);
      } catch (StoreException.VersionConflict e) {
        if (attempt >= MAX_ATTEMPTS) {
          throw CliException.from(e);
        }
        stored =
            e.current()
                .orElseThrow(() -> new CliException.NotFound(key.kind().wireName(), key.name()));
      } catch (StoreException e) {
        throw CliException.from(e);
      }
    }
  }

  private static ConfigObject read(StoredObject stored) throws CliException {
    try {
      return ObjectJson.read(stored);
    } catch (InvalidFieldsException e) {
      throw new CliException.InvalidInput(e);
    }
  }

  private static String bodyWithLabels(ConfigObject object, Labels labels) {
    ObjectNode body = ObjectJson.writeTree(object);
    ObjectNode node = body.putObject("labels");
    labels.values().forEach(node::put);
    return body.toString();
  }
}
