package org.cowslipstair.logic.object;

import java.io.Serial;
import java.util.List;
import java.util.stream.Collectors;
import org.cowslipstair.model.config.ObjectKey;

/** Thrown if an object has invalid fields; contains all errors that were found. */
public final class InvalidFieldsException extends Exception {
  @Serial private static final long serialVersionUID = 1L;
  private final transient ObjectKey key;
  private final transient List<FieldFault> faults;

  /** Creates the exception. */
  public InvalidFieldsException(ObjectKey key, List<FieldFault> faults) {
    super(
        faults.stream()
            .map(FieldFault::toString)
            .collect(Collectors.joining("; ", key + " is not valid: ", "")));
    this.key = key;
    this.faults = List.copyOf(faults);
  }

  /** Returns the key of the object. */
  public ObjectKey key() {
    return key;
  }

  /** Returns all errors of the object. */
  public List<FieldFault> faults() {
    return faults;
  }
}
