package org.cowslipstair.logic.check;

/**
 * Something that an operator should know before a configuration is sent.
 *
 * @param subject entry that the finding is about, such as {@code route "pages"}
 * @param problem what is found, and what it does to callers
 */
public record Finding(Kind kind, String subject, String problem) {
  /** Kinds of finding, the gravest first. */
  public enum Kind {
    /** The configuration cannot work as it is written. */
    ERROR("error"),
    /** An entry can never match a request. */
    NEVER_MATCHES("never matches"),
    /** Two limits contradict each other. */
    CONTRADICTION("contradiction"),
    /** A difference from the configuration in force. */
    DIFFERENCE("difference");

    private final String label;

    Kind(String label) {
      this.label = label;
    }

    /** Returns the name of the kind, as operators see it. */
    public String label() {
      return label;
    }
  }

  @Override
  public String toString() {
    return "%s: %s: %s".formatted(kind.label, subject, problem);
  }
}
