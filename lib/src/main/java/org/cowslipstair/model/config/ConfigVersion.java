package org.cowslipstair.model.config;

/**
 * Identifies the configuration that a gateway has in force.
 *
 * @param storeId store that the configuration comes from
 * @param storeTerm term, which increases each time an operator accepts another store or store state
 * @param revision revision up to which the configuration is complete
 * @param digest checksum over the versions of all objects; equal if the objects are equal
 */
public record ConfigVersion(StoreId storeId, long storeTerm, long revision, long digest) {
  private static final ConfigVersion NONE = new ConfigVersion(new StoreId(""), 0, 0, 0L);

  /** Returns the version of a gateway that has no configuration yet. */
  public static ConfigVersion none() {
    return NONE;
  }

  /** Returns whether this is the version of a gateway that has no configuration yet. */
  public boolean isNone() {
    return storeId.value().isEmpty();
  }

  /** Returns whether both versions belong to the same store in the same term. */
  public boolean isSameStoreAndTerm(ConfigVersion other) {
    return storeTerm == other.storeTerm && storeId.equals(other.storeId);
  }
}
