package org.cowslipstair.edge.exchange;

import java.util.List;

/**
 * Runs the admission steps of one request in their order. The first refusal ends the sequence; the
 * steps that have decided are told how the request ended.
 */
final class AdmissionSequence {
  private final List<AdmissionStep> steps;
  private final AdmissionStep.Listener listener;
  private int startedSteps;
  private boolean ended;

  AdmissionSequence(List<AdmissionStep> steps, AdmissionStep.Listener listener) {
    this.steps = List.copyOf(steps);
    this.listener = listener;
  }

  /** Starts the first step. */
  void start() {
    startNext();
  }

  private void startNext() {
    if (ended) {
      return;
    }
    if (startedSteps == steps.size()) {
      listener.onAdmitted();
      return;
    }
    AdmissionStep step = steps.get(startedSteps);
    startedSteps++;
    step.decide(
        new AdmissionStep.Listener() {
          @Override
          public void onAdmitted() {
            startNext();
          }

          @Override
          public void onRefused(Refusal.NotRun refusal) {
            if (!ended) {
              listener.onRefused(refusal);
            }
          }
        });
  }

  /** Ends the sequence; has no effect if it has ended. */
  void end(AdmissionStep.Ending ending) {
    if (ended) {
      return;
    }
    ended = true;
    steps.subList(0, startedSteps).forEach(step -> step.onEnded(ending));
  }
}
