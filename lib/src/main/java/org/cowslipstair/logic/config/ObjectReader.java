package org.cowslipstair.logic.config;

import org.cowslipstair.model.config.ConfigObject;
import org.cowslipstair.model.config.StoredObject;

/** Reads objects of the configuration from their stored form. */
@FunctionalInterface
public interface ObjectReader {
  /**
   * Reads an object that is not a tombstone.
   *
   * @throws InvalidObjectException if the body does not describe a valid object
   */
  ConfigObject read(StoredObject stored) throws InvalidObjectException;
}
