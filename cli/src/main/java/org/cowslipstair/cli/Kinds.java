package org.cowslipstair.cli;

import java.util.Optional;
import java.util.stream.Collectors;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.ObjectKind;

/** Reads kinds and names of objects from arguments. */
final class Kinds {
  private static final String ACCEPTED =
      Objects.KINDS.stream().map(ObjectKind::wireName).collect(Collectors.joining(", "));

  private Kinds() {}

  static ObjectKind parse(String text) throws CliException {
    Optional<ObjectKind> kind = ObjectKind.fromWireName(text.replace('_', '-'));
    return kind.filter(ObjectKind::isConfiguration)
        .orElseThrow(() -> new CliException.Usage(text, ACCEPTED));
  }

  static ObjectKey key(String kind, String name) throws CliException {
    return key(parse(kind), name);
  }

  static ObjectKey key(ObjectKind kind, String name) throws CliException {
    if (!ObjectKey.isValidName(name)) {
      throw new CliException.Usage(name, "lower-case letters, digits, '.', '_' or '-'");
    }
    return new ObjectKey(kind, name);
  }
}
