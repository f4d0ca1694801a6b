package org.cowslipstair.adapters.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Numbers for names on one direction of a connection. The first time a name is sent in full, both
 * ends give it the next number; later only the number is sent.
 */
final class NameTable {
  static final int MAX_NAMES = 4_096;

  private final Map<String, Integer> numbers = new HashMap<>();
  private final List<String> names = new ArrayList<>();

  Optional<Integer> number(String name) {
    return Optional.ofNullable(numbers.get(name));
  }

  Optional<String> name(long number) {
    return number >= 0 && number < names.size()
        ? Optional.of(names.get((int) number))
        : Optional.empty();
  }

  void add(String name) {
    if (names.size() < MAX_NAMES && numbers.putIfAbsent(name, names.size()) == null) {
      names.add(name);
    }
  }
}
