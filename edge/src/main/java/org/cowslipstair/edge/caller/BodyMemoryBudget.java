package org.cowslipstair.edge.caller;

/** Limits the memory used by request bodies, so that many uploads cannot exhaust it. */
final class BodyMemoryBudget {
  private final long capacityBytes;
  private long reservedBytes;

  /** Creates a budget with nothing reserved. */
  BodyMemoryBudget(long capacityBytes) {
    this.capacityBytes = capacityBytes;
  }

  /** Reserves bytes; returns false and reserves nothing if they exceed the capacity. */
  boolean tryReserve(long bytes) {
    if (reservedBytes + bytes > capacityBytes) {
      return false;
    }
    reservedBytes += bytes;
    return true;
  }

  /** Releases reserved bytes. */
  void release(long bytes) {
    reservedBytes -= bytes;
  }
}
