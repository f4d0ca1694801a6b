package org.cowslipstair.model.config;

/**
 * An object in the platform's store.
 *
 * @param version store revision of the last write to the object; increases with each write
 * @param changeId identifies the write, so that a writer that got no response can detect whether
 *     its write took effect
 * @param deleted whether this is a tombstone, the marker of a deleted object
 * @param json body of the object; empty in a tombstone
 */
public record StoredObject(
    ObjectKey key, long version, String changeId, boolean deleted, String json) {}
