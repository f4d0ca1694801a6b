package org.cowslipstair.logic.object;

import java.util.regex.Pattern;

/** Syntax of label keys and values. */
public final class LabelSyntax {
  /** What a label key accepts. */
  public static final String ACCEPTED_KEY =
      "1 to 63 letters, digits, '.', '_', '/' or '-', with a letter or digit at both ends";

  /** What a label value accepts. */
  public static final String ACCEPTED_VALUE =
      "1 to 63 letters, digits, '.', '_' or '-', with a letter or digit at both ends";

  private static final int MAX_CHARS = 63;
  private static final Pattern KEY = Pattern.compile("[A-Za-z0-9]([A-Za-z0-9._/-]*[A-Za-z0-9])?");
  private static final Pattern VALUE = Pattern.compile("[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?");

  private LabelSyntax() {}

  /** Returns whether a string may be the key of a label. */
  public static boolean isKey(String text) {
    return text.length() <= MAX_CHARS && KEY.matcher(text).matches();
  }

  /** Returns whether a string may be the value of a label. */
  public static boolean isValue(String text) {
    return text.length() <= MAX_CHARS && VALUE.matcher(text).matches();
  }
}
