package org.cowslipstair.model.config;

import java.util.Optional;
import java.util.Set;

/** A condition of a selector on one label. */
public sealed interface Requirement {
  /** Returns the key of the label that the condition tests. */
  String key();

  /** The label has the value. */
  record Equal(String key, String value) implements Requirement {}

  /** The label is absent or has another value. */
  record NotEqual(String key, String value) implements Requirement {}

  /** The label has one of the values. */
  record In(String key, Set<String> values) implements Requirement {}

  /** The label is absent or has none of the values. */
  record NotIn(String key, Set<String> values) implements Requirement {}

  /** The label is present. */
  record Present(String key) implements Requirement {}

  /** The label is absent. */
  record Absent(String key) implements Requirement {}

  /** Returns whether the labels meet the condition. */
  default boolean matches(Labels labels) {
    Optional<String> actual = labels.get(key());
    return switch (this) {
      case Equal(String _, String value) -> actual.filter(value::equals).isPresent();
      case NotEqual(String _, String value) -> actual.filter(value::equals).isEmpty();
      case In(String _, Set<String> values) -> actual.filter(values::contains).isPresent();
      case NotIn(String _, Set<String> values) -> actual.filter(values::contains).isEmpty();
      case Present _ -> actual.isPresent();
      case Absent _ -> actual.isEmpty();
    };
  }
}
