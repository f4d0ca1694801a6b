package org.cowslipstair.standins.backend;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Health of a backend server, true or as reported. */
public enum BackendHealth {
  WARM,
  COLD,
  DRAINING,
  SHEDDING;

  /** Returns the name used on the wire. */
  @JsonValue
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
