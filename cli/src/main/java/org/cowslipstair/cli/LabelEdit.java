package org.cowslipstair.cli;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cowslipstair.logic.object.LabelSyntax;
import org.cowslipstair.model.config.Labels;

/**
 * A change of labels.
 *
 * @param values desired value of each label; empty to remove it
 */
record LabelEdit(Map<String, Optional<String>> values) {
  private static final String ACCEPTED = "key=value to set a label, key- to remove it";

  LabelEdit {
    values = Map.copyOf(values);
  }

  /** A concurrent change of the same label by another client. */
  record Conflict(String label, Optional<String> currentValue, Optional<String> desiredValue) {}

  /** Parses arguments such as {@code tier=gold} and {@code canary-}. */
  static LabelEdit parse(List<String> arguments) throws CliException {
    Map<String, Optional<String>> values = new TreeMap<>();
    for (String argument : arguments) {
      int equals = argument.indexOf('=');
      boolean isRemoval = equals < 0 && argument.endsWith("-");
      if (equals < 0 && !isRemoval) {
        throw new CliException.Usage(argument, ACCEPTED);
      }
      String key = argument.substring(0, isRemoval ? argument.length() - 1 : equals);
      Optional<String> value =
          isRemoval ? Optional.empty() : Optional.of(argument.substring(equals + 1));
      if (!LabelSyntax.isKey(key) || !value.map(LabelSyntax::isValue).orElse(true)) {
        throw new CliException.Usage(argument, LabelSyntax.ACCEPTED_VALUE);
      }
      if (values.put(key, value) != null) {
        throw new CliException.Usage(argument, "each label at most once");
      }
    }
    if (values.isEmpty()) {
      throw new CliException.Usage("", ACCEPTED);
    }
    return new LabelEdit(values);
  }

  /** Returns the labels with this change applied. */
  Labels applyTo(Labels labels) {
    Labels result = labels;
    for (Map.Entry<String, Optional<String>> entry : values.entrySet()) {
      String key = entry.getKey();
      Optional<String> value = entry.getValue();
      result = value.isPresent() ? result.with(key, value.get()) : result.without(key);
    }
    return result;
  }

  /** Finds a label whose value now differs from both its base value and the desired value. */
  Optional<Conflict> findConflict(Labels base, Labels current) {
    for (Map.Entry<String, Optional<String>> entry : new TreeMap<>(values).entrySet()) {
      Optional<String> currentValue = current.get(entry.getKey());
      boolean isChanged = !currentValue.equals(base.get(entry.getKey()));
      if (isChanged && !currentValue.equals(entry.getValue())) {
        return Optional.of(new Conflict(entry.getKey(), currentValue, entry.getValue()));
      }
    }
    return Optional.empty();
  }
}
