package org.cowslipstair.logic.rollout;

import java.util.Optional;
import java.util.Set;
import org.cowslipstair.model.rollout.ServiceVersion;

/** The versions of a service to which one send may go. */
public sealed interface VersionChoice {
  /** Every version. */
  record Any() implements VersionChoice {}

  /**
   * Only one version.
   *
   * @param allowsOthersInstead whether the send may go to another version if no server of this one
   *     can take it
   */
  record Only(ServiceVersion version, boolean allowsOthersInstead) implements VersionChoice {}

  /** Every version but some. */
  record Except(Set<ServiceVersion> versions) implements VersionChoice {
    /** Copies the set. */
    public Except {
      versions = Set.copyOf(versions);
    }
  }

  /** Returns whether a send may go to a server that reports this version. */
  default boolean allows(Optional<ServiceVersion> version) {
    return switch (this) {
      case Any _ -> true;
      case Only(ServiceVersion only, _) -> version.filter(only::equals).isPresent();
      case Except(Set<ServiceVersion> excluded) -> version.filter(excluded::contains).isEmpty();
    };
  }

  /**
   * Returns the choice for a send for which no server could be selected; empty if there is none.
   */
  default Optional<VersionChoice> alternative() {
    return this instanceof Only(ServiceVersion version, boolean allowsOthersInstead)
            && allowsOthersInstead
        ? Optional.of(new Except(Set.of(version)))
        : Optional.empty();
  }
}
