package org.cowslipstair.logic.object;

import java.util.stream.Collectors;
import org.cowslipstair.logic.config.InvalidObjectException;
import org.cowslipstair.logic.config.ObjectReader;
import org.cowslipstair.model.config.ConfigObject;
import org.cowslipstair.model.config.StoredObject;

/** Parses stored objects from JSON; the reason of an exception lists all invalid fields. */
public final class JsonObjectReader implements ObjectReader {
  @Override
  public ConfigObject read(StoredObject stored) throws InvalidObjectException {
    try {
      return ObjectJson.read(stored);
    } catch (InvalidFieldsException e) {
      String reason =
          e.errors().stream().map(FieldError::toString).collect(Collectors.joining("; "));
      throw new InvalidObjectException(stored.key(), reason);
    }
  }
}
