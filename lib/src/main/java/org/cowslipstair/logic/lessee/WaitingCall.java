package org.cowslipstair.logic.lessee;

import java.util.HashSet;
import java.util.Set;
import org.cowslipstair.logic.admission.Admission.AdmissionRequest;
import org.cowslipstair.model.pool.PoolId;

/** A call that waits for a slot, and the pools that it has tried. */
final class WaitingCall {
  private final long id;
  private final AdmissionRequest request;
  private final Set<PoolId> tried = new HashSet<>();
  private long retryAtNs = Long.MAX_VALUE;
  private boolean waited;
  private int openWaits;
  private long askedAtNs = Long.MAX_VALUE;

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
    return tried.contains(pool);
  }

  /** Returns whether the call has waited in a queue since it last started to look. */
  boolean hasWaited() {
    return waited;
  }

  /** Returns whether the call waits in queues. */
  boolean isQueued() {
    return openWaits > 0;
  }

  /** Takes note that one broker was asked, which answers at once unless it is paused or lost. */
  void asked(long nowNs) {
    askedAtNs = nowNs;
  }

  /** Returns whether the only broker that was asked has been silent since a time. */
  boolean isUnansweredSince(long sinceNs) {
    return openWaits == 0 && askedAtNs <= sinceNs;
  }

  void startWait() {
    askedAtNs = Long.MAX_VALUE;
    waited = true;
    openWaits++;
  }

  /** Takes note that one queue refused the call; returns whether that was the last one. */
  boolean endWait() {
    openWaits--;
    return openWaits == 0;
  }

  void tried(PoolId pool) {
    tried.add(pool);
  }

  /** Looks for a slot again at a later time. */
  void retryAt(long atNs) {
    tried.clear();
    waited = false;
    openWaits = 0;
    askedAtNs = Long.MAX_VALUE;
    retryAtNs = atNs;
  }

  void noRetry() {
    retryAtNs = Long.MAX_VALUE;
  }

  long retryAtNs() {
    return retryAtNs;
  }
}
