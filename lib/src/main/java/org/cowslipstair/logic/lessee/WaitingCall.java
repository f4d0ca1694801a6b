package org.cowslipstair.logic.lessee;

import java.util.HashSet;
import java.util.Set;
import org.cowslipstair.logic.admission.Admission.AdmissionRequest;
import org.cowslipstair.model.pool.PoolId;

/** A call that waits for a slot, and the pools that it has tried. */
final class WaitingCall {
  private final long id;
  private final AdmissionRequest request;
  private final Set<PoolId> triedPools = new HashSet<>();
  private long retryAtNs = Long.MAX_VALUE;
  private boolean joinedQueue;
  private int joinedQueueCount;
  private long requestedAtNs = Long.MAX_VALUE;

  WaitingCall(long id, AdmissionRequest request) {
    this.id = id;
    this.request = request;
  }

  long id() {
    return id;
  }

  AdmissionRequest request() {
    return request;
  }

  boolean hasTried(PoolId pool) {
    return triedPools.contains(pool);
  }

  /** Returns whether the call has joined a queue since its last retry. */
  boolean hasJoinedQueue() {
    return joinedQueue;
  }

  /** Returns whether the call waits in at least one queue. */
  boolean isQueued() {
    return joinedQueueCount > 0;
  }

  /** Records an acquire to which a broker replies immediately unless it is paused or lost. */
  void recordImmediateRequest(long nowNs) {
    requestedAtNs = nowNs;
  }

  /** Returns whether such an acquire, sent at or before the given time, still has no reply. */
  boolean hasNoReplySince(long timeNs) {
    return joinedQueueCount == 0 && requestedAtNs <= timeNs;
  }

  void recordQueueJoined() {
    requestedAtNs = Long.MAX_VALUE;
    joinedQueue = true;
    joinedQueueCount++;
  }

  /** Records that one queue refused the call; returns whether it was the last one. */
  boolean recordQueueRefusal() {
    joinedQueueCount--;
    return joinedQueueCount == 0;
  }

  void markTried(PoolId pool) {
    triedPools.add(pool);
  }

  /** Schedules another attempt to get a slot, in any pool. */
  void scheduleRetry(long atNs) {
    triedPools.clear();
    joinedQueue = false;
    joinedQueueCount = 0;
    requestedAtNs = Long.MAX_VALUE;
    retryAtNs = atNs;
  }

  void clearRetry() {
    retryAtNs = Long.MAX_VALUE;
  }

  long retryAtNs() {
    return retryAtNs;
  }
}
