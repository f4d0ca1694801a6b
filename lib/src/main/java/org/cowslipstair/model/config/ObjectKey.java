package org.cowslipstair.model.config;

import java.util.regex.Pattern;

/** Identifies one object in the platform's store. */
public record ObjectKey(ObjectKind kind, String name) implements Comparable<ObjectKey> {
  private static final int MAX_NAME_CHARS = 128;
  private static final Pattern VALID_NAME = Pattern.compile("[a-z0-9]([a-z0-9._-]*[a-z0-9])?");

  /** Validates the name. */
  public ObjectKey {
    requireValidName(name);
  }

  /** Returns whether a string is a valid object name. */
  public static boolean isValidName(String name) {
    return name.length() <= MAX_NAME_CHARS && VALID_NAME.matcher(name).matches();
  }

  /**
   * Validates an object name.
   *
   * @throws IllegalArgumentException if the name is not valid
   */
  public static void requireValidName(String name) {
    if (!isValidName(name)) {
      throw new IllegalArgumentException(
          "name \"%s\" must be lower-case letters, digits, '.', '_' or '-'".formatted(name));
    }
  }

  @Override
  public int compareTo(ObjectKey other) {
    int byKind = kind.compareTo(other.kind);
    return byKind != 0 ? byKind : name.compareTo(other.name);
  }

  @Override
  public String toString() {
    return kind.wireName() + "/" + name;
  }
}
