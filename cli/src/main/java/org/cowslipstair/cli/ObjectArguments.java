package org.cowslipstair.cli;

import java.util.Optional;
import java.util.stream.Collectors;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.ObjectKind;

/** Parses the kinds and names of objects given as arguments. */
final class ObjectArguments {
  private static final String KIND_NAMES =
      ObjectStore.CONFIG_KINDS.stream().map(ObjectKind::wireName).collect(Collectors.joining(", "));

  private ObjectArguments() {}

  static ObjectKind parseKind(String text) throws CliException {
    Optional<ObjectKind> kind = ObjectKind.fromWireName(text.replace('_', '-'));
    return kind.filter(ObjectKind::isConfiguration)
        .orElseThrow(() -> new CliException.Usage(text, KIND_NAMES));
  }

  static ObjectKey parseKey(String kind, String name) throws CliException {
    return parseKey(parseKind(kind), name);
  }

  static ObjectKey parseKey(ObjectKind kind, String name) throws CliException {
    if (!ObjectKey.isValidName(name)) {
      throw new CliException.Usage(name, "lower-case letters, digits, '.', '_' or '-'");
    }
    return new ObjectKey(kind, name);
  }
}
