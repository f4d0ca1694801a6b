package org.cowslipstair.edge.exchange;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cowslipstair.model.call.NotRunReason;
import org.junit.jupiter.api.Test;

final class AdmissionSequenceTest {
  private final List<String> events = new ArrayList<>();
  private final FakeStep first = new FakeStep("first");
  private final FakeStep second = new FakeStep("second");
  private final AdmissionSequence sequence =
      new AdmissionSequence(List.of(first, second), new FakeListener());

  private final class FakeStep implements AdmissionStep {
    private final String name;
    private Optional<Listener> listener = Optional.empty();

    FakeStep(String name) {
      this.name = name;
    }

    @Override
    public void decide(Listener newListener) {
      listener = Optional.of(newListener);
    }

    @Override
    public void onEnded(Ending ending) {
      events.add(name + " " + ending);
    }
  }

  private final class FakeListener implements AdmissionStep.Listener {
    @Override
    public void onAdmitted() {
      events.add("admitted");
    }

    @Override
    public void onRefused(Refusal.NotRun refusal) {
      events.add(refusal.reasonName());
    }
  }

  @Test
  void requestIsAdmittedAfterItsLastStep() {
    sequence.start();
    first.listener.orElseThrow().onAdmitted();
    assertThat(events, is(empty()));
    second.listener.orElseThrow().onAdmitted();
    sequence.end(AdmissionStep.Ending.MAY_HAVE_RUN);
    assertThat(events, contains("admitted", "first MAY_HAVE_RUN", "second MAY_HAVE_RUN"));
  }

  @Test
  void firstRefusalKeepsTheLaterStepsFromStarting() {
    sequence.start();
    first.listener.orElseThrow().onRefused(new Refusal.NotRun(NotRunReason.OVER_QUOTA));
    sequence.end(AdmissionStep.Ending.NOT_RUN);
    assertThat(second.listener.isPresent(), is(false));
    assertThat(events, contains("over_quota", "first NOT_RUN"));
  }

  @Test
  void decisionAfterTheEndHasNoEffect() {
    sequence.start();
    first.listener.orElseThrow().onAdmitted();
    sequence.end(AdmissionStep.Ending.NOT_RUN);
    second.listener.orElseThrow().onAdmitted();
    assertThat(events, contains("first NOT_RUN", "second NOT_RUN"));
  }
}
