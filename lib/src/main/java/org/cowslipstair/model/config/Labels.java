package org.cowslipstair.model.config;

import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/** Immutable labels of an object, ordered by key. */
public record Labels(Map<String, String> values) {
  /** Label that operators set to take a zone out of service or mark a backend server as leaving. */
  public static final String STATE = "state";

  /** Value of {@link #STATE} on a zone that is out of service. */
  public static final String STATE_OUT = "out";

  /** Value of {@link #STATE} on a backend server that is leaving. */
  public static final String STATE_LEAVING = "leaving";

  private static final Labels EMPTY = new Labels(Map.of());

  /** Copies the values and orders them by key. */
  public Labels {
    values = Collections.unmodifiableSortedMap(new TreeMap<>(values));
  }

  /** Returns an empty set of labels. */
  public static Labels empty() {
    return EMPTY;
  }

  /** Returns the value of a label; empty if the label is absent. */
  public Optional<String> get(String key) {
    return Optional.ofNullable(values.get(key));
  }

  /** Returns whether a label has the given value. */
  public boolean has(String key, String value) {
    return value.equals(values.get(key));
  }

  /** Returns a copy with one label set. */
  public Labels with(String key, String value) {
    SortedMap<String, String> copy = new TreeMap<>(values);
    copy.put(key, value);
    return new Labels(copy);
  }

  /** Returns a copy without one label. */
  public Labels without(String key) {
    SortedMap<String, String> copy = new TreeMap<>(values);
    copy.remove(key);
    return new Labels(copy);
  }
}
