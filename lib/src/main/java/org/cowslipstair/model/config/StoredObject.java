package org.cowslipstair.model.config;

/**
 * An object as the platform's store keeps it.
 *
 * @param version revision of the store at which the object was last written; always rises
 * @param changeId identifies the write, so that a writer whose answer was lost finds its own write
 * @param deleted whether this is the tombstone of a deleted object
 * @param json body of the object; empty in a tombstone
 */
public record StoredObject(
    ObjectKey key, long version, String changeId, boolean deleted, String json) {}
