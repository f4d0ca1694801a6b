package org.cowslipstair.logic.object;

import java.io.Serial;
import java.util.List;
import java.util.stream.Collectors;
import org.cowslipstair.model.config.ObjectKey;

/** Thrown if an object has invalid fields; contains all errors that were found. */
public final class InvalidFieldsException extends Exception {
  @Serial private static final long serialVersionUID = 1L;
  private final transient ObjectKey key;
  private final transient List<FieldError> errors;

  /** Creates the exception. */
  public InvalidFieldsException(ObjectKey key, List<FieldError> errors) {
    super(
        errors.stream()
            .map(FieldError::toString)
            .collect(Collectors.joining("; ", key + " is not valid: ", "")));
    this.key = key;
    this.errors = List.copyOf(errors);
  }

  /** Returns the key of the object. */
  public ObjectKey key() {
    return key;
  }

  /** Returns all errors of the object. */
  public List<FieldError> errors() {
    return errors;
  }
}
