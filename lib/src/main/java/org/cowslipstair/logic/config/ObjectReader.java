package org.cowslipstair.logic.config;

import org.cowslipstair.model.config.ConfigObject;
import org.cowslipstair.model.config.StoredObject;

/** Parses stored objects into configuration objects. */
@FunctionalInterface
public interface ObjectReader {
  /**
   * Parses an object that is not a tombstone.
   *
   * @throws InvalidObjectException if the JSON body is not a valid object
   */
  ConfigObject read(StoredObject stored) throws InvalidObjectException;
}
