package org.cowslipstair.logic.object;

/**
 * One fault of an object.
 *
 * @param path field at fault, such as {@code labels.state}; empty for the object itself
 * @param found what the field holds, as text
 * @param accepted what the field accepts
 */
public record FieldFault(Kind kind, String path, String found, String accepted) {
  /** Kinds of fault. */
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

    /** Returns the predicate of a message about the fault. */
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
