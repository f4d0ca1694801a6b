package org.cowslipstair.experiments.plan;

import java.util.Locale;
import java.util.Optional;

/** What happens to the fleet while the load runs. */
public enum Scenario {
  /** Nothing. */
  STEADY,
  /** Neighbours slow a third of the backend servers down for tens of milliseconds at a time. */
  SHIFTING,
  /**
   * Hosts like those of the users: each is slowed down a quarter of the time, calls take longer
   * once most slots are busy, and those beyond a short queue never get a response.
   */
  BUSY_HOSTS,
  /** One backend server of each service gets ten times slower. */
  SLOW_BACKEND,
  /** One backend server of each service refuses all calls as not run. */
  SHEDDING,
  /** One backend server of each service falls into a cold start. */
  COLD_FALL,
  /** A zone is taken out and brought back. */
  ZONE_OUT,
  /** A gateway that brokers pools stops as planned and is replaced. */
  BROKER_STOP,
  /** A gateway that brokers pools ends without notice and is replaced. */
  BROKER_KILL;

  /** Returns the name used in files, such as {@code cold-fall}. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Finds a scenario by its wire name. */
  public static Optional<Scenario> fromWireName(String wireName) {
    for (Scenario scenario : values()) {
      if (scenario.wireName().equals(wireName)) {
        return Optional.of(scenario);
      }
    }
    return Optional.empty();
  }
}
