package org.cowslipstair.logic.object;

/**
 * A validation error of one field of an object, or of the object itself.
 *
 * @param path path of the invalid field, such as {@code labels.state}; empty for the object itself
 * @param found value of the field as text; empty if it is not to be shown
 * @param accepted description of accepted values
 */
public record FieldError(Kind kind, String path, String found, String accepted) {
  /** Kinds of validation error. */
  public enum Kind {
    SYNTAX("is not well-formed"),
    UNKNOWN_FIELD("is not a known field"),
    MISSING("is missing"),
    WRONG_TYPE("has the wrong type"),
    NOT_ACCEPTED("is not accepted"),
    UNKNOWN_REFERENCE("refers to an object that does not exist"),
    DUPLICATE("is defined twice");

    private final String problem;

    Kind(String problem) {
      this.problem = problem;
    }

    /** Returns the part of the error message that follows the field name. */
    public String problem() {
      return problem;
    }
  }

  @Override
  public String toString() {
    String subject = path.isEmpty() ? "object" : path;
    String value = found.isEmpty() ? "" : " \"" + found + "\"";
    return "%s%s %s; accepted: %s".formatted(subject, value, kind.problem(), accepted);
  }
}
