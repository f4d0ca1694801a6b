package org.cowslipstair.runtime;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;
import org.cowslipstair.logic.call.CallDecision;

/**
 * The last decisions about calls, in a ring of fixed size. Many threads record at once without a
 * lock; a reader sees a step that is being overwritten either before or after.
 */
public final class DecisionLog {
  private final AtomicReferenceArray<Step> steps;
  private final AtomicLong next = new AtomicLong();

  /** Creates a log that keeps a number of decisions. */
  public DecisionLog(int size) {
    this.steps = new AtomicReferenceArray<>(size);
  }

  /** Records a decision. */
  public void record(String requestId, long atNs, CallDecision decision) {
    long number = next.getAndIncrement();
    int slot = (int) (number % steps.length());
    steps.set(slot, new Step(number, requestId, atNs, decision));
  }

  /** Returns the decisions about a call that are still kept, oldest first. */
  public List<Step> explain(String requestId) {
    List<Step> found = new ArrayList<>();
    for (int i = 0; i < steps.length(); i++) {
      Step step = steps.get(i);
      if (step != null && step.requestId.equals(requestId)) {
        found.add(step);
      }
    }
    found.sort(Comparator.comparingLong(Step::number));
    return found;
  }

  /**
   * One decision about a call.
   *
   * @param number rises with each decision of the gateway
   * @param atNs monotonic time of the gateway
   */
  public record Step(long number, String requestId, long atNs, CallDecision decision) {}
}
