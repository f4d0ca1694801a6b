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
 * Changes labels of an object. When somebody else changed the object meanwhile, the change is made
 * again on the new state, unless the same label was changed.
 */
final class LabelWriter {
  private static final int MAX_ATTEMPTS = 20;

  private final Objects objects;

  LabelWriter(Objects objects) {
    this.objects = objects;
  }

  /**
   * Result of a change.
   *
   * @param version version of the object that has the wanted labels
   * @param isChanged whether anything had to be written
   */
  record Result(long version, boolean isChanged) {}

  Result change(ObjectKey key, LabelEdit edit) throws CliException, InterruptedException {
    StoredObject stored = objects.get(key);
    Labels base = read(stored).labels();
    for (int attempt = 1; true; attempt++) {
      ConfigObject current = read(stored);
      Optional<LabelEdit.Clash> clash = edit.clash(base, current.labels());
      if (clash.isPresent()) {
        LabelEdit.Clash found = clash.get();
        throw new CliException.LabelConflict(key, found.label(), found.theirs(), found.ours());
      }
      Labels wanted = edit.applyTo(current.labels());
      if (wanted.equals(current.labels())) {
        return new Result(stored.version(), false);
      }
      try {
        long version = objects.put(key, bodyWith(current, wanted), stored.version());
        return new Result(version, true);
      } catch (StoreException.VersionConflict e) {
        if (attempt >= MAX_ATTEMPTS) {
          throw CliException.of(e);
        }
        stored =
            e.current()
                .orElseThrow(() -> new CliException.NotFound(key.kind().wireName(), key.name()));
      } catch (StoreException e) {
        throw CliException.of(e);
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

  private static String bodyWith(ConfigObject object, Labels labels) {
    ObjectNode body = ObjectJson.writeTree(object);
    ObjectNode node = body.putObject("labels");
    labels.values().forEach(node::put);
    return body.toString();
  }
}
