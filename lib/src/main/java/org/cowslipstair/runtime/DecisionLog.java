package org.cowslipstair.runtime;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;
import org.cowslipstair.logic.call.CallDecision;

/**
 * Ring buffer of the most recent decisions about calls. Threads record concurrently and without a
 * lock; of an entry that is being overwritten, a reader sees either the old or the new value.
 */
public final class DecisionLog {
  private final AtomicReferenceArray<Step> steps;
  private final AtomicLong nextNumber = new AtomicLong();

  /** Creates a log that holds up to the given number of decisions. */
  public DecisionLog(int capacity) {
    this.steps = new AtomicReferenceArray<>(capacity);
  }

  /** Records a decision. */
  public void record(String requestId, long atNs, CallDecision decision) {
    long number = nextNumber.getAndIncrement();
    int index = (int) (number % steps.length());
    steps.set(index, new Step(number, requestId, atNs, decision));
  }

  /** Returns the decisions about a call that have not been overwritten yet, oldest first. */
  public List<Step> explain(String requestId) {
    List<Step> matches = new ArrayList<>();
    for (int i = 0; i < steps.length(); i++) {
      Step step = steps.get(i);
      if (step != null && step.requestId.equals(requestId)) {
        matches.add(step);
      }
    }
    matches.sort(Comparator.comparingLong(Step::number));
    return matches;
  }

  /**
   * One decision about a call.
   *
   * @param number sequence number of the decision on this gateway
   * @param atNs monotonic time of the gateway in nanoseconds
   */
  public record Step(long number, String requestId, long atNs, CallDecision decision) {}
}
