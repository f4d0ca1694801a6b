package org.cowslipstair.logic.object;

import java.util.regex.Pattern;

/** Syntax of label keys and values. */
public final class LabelSyntax {
  /** Description of valid label keys, for error messages. */
  public static final String ACCEPTED_KEY =
      "1 to 63 letters, digits, '.', '_', '/' or '-', with a letter or digit at both ends";

  /** Description of valid label values, for error messages. */
  public static final String ACCEPTED_VALUE =
      "1 to 63 letters, digits, '.', '_' or '-', with a letter or digit at both ends";

  private static final int MAX_CHARS = 63;
  private static final Pattern KEY_PATTERN =
      Pattern.compile("[A-Za-z0-9]([A-Za-z0-9._/-]*[A-Za-z0-9])?");
  private static final Pattern VALUE_PATTERN =
      Pattern.compile("[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?");

  private LabelSyntax() {}

  /** Returns whether a string is a valid label key. */
  public static boolean isKey(String text) {
    return text.length() <= MAX_CHARS && KEY_PATTERN.matcher(text).matches();
  }

  /** Returns whether a string is a valid label value. */
  public static boolean isValue(String text) {
    return text.length() <= MAX_CHARS && VALUE_PATTERN.matcher(text).matches();
  }
}
