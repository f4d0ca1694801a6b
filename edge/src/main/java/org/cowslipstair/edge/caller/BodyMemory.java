package org.cowslipstair.edge.caller;

/** Counts the bytes of request bodies in memory, so that many uploads cannot exhaust it. */
final class BodyMemory {
  private final long capacityBytes;
  private long usedBytes;

  /** Creates an empty account. */
  BodyMemory(long capacityBytes) {
    this.capacityBytes = capacityBytes;
  }

  /** Takes bytes if there is room. */
  boolean tryTake(long bytes) {
    if (usedBytes + bytes > capacityBytes) {
      return false;
    }
    usedBytes += bytes;
    return true;
  }

  /** Gives bytes back. */
  void giveBack(long bytes) {
    usedBytes -= bytes;
  }
}
