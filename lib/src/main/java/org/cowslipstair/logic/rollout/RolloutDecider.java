package org.cowslipstair.logic.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cowslipstair.model.rollout.RolloutPolicy;
import org.cowslipstair.model.rollout.RolloutStatus;

/**
 * Carries out one order: from the reports of all gateways it decides which share of the service's
 * sends the new version gets, whether it is bad, and when it gets everything. A decider that takes
 * over goes on from the time and the counts that the gateways report. Not thread-safe.
 */
public final class RolloutDecider {
  private final ExposurePlan plan;
  private final VersionVerdict verdict = new VersionVerdict();
  private State state = new State.Waiting();
  private long lastStepNs;

  /** State of a rollout. */
  public sealed interface State {
    /** No server of the new version is known. */
    record Waiting() implements State {}

    /** The new version gets a share. */
    record Exposing(double share) implements State {}

    /** The new version gets everything; requests on the other versions end. */
    record Committing() implements State {}

    /** No more is decided; the status has to be recorded if it has not been. */
    record Ended(RolloutStatus.State status) implements State {}
  }

  /** What a decider wants done. */
  public sealed interface Action {
    /** The status is to be recorded in the store, unless it is there. */
    record Record(RolloutStatus.State status) implements Action {}

    /** Every gateway is to be told at once. */
    record TellAll(Directive directive) implements Action {}

    /** A line for the log. */
    record Explain(String text) implements Action {}
  }

  /**
   * What is known at one moment.
   *
   * @param ageMs longest time for which any gateway has known the order
   * @param lagMs time for which gateways may follow a directive after the last count that is known
   * @param hasMajority whether more than half of the fleet reports to this decider
   * @param isDrained whether no request runs on another version
   * @param recorded status in the store
   */
  public record Input(
      long nowNs,
      long ageMs,
      long lagMs,
      boolean hasTarget,
      boolean hasMajority,
      boolean isDrained,
      Map<String, RouteCounts> routes,
      Optional<RolloutStatus.State> recorded) {
    RouteCounts sum() {
      return routes.values().stream().reduce(RouteCounts.none(), RouteCounts::plus);
    }
  }

  /** Creates a decider that knows no counts. */
  public RolloutDecider(RolloutPolicy policy, long durationMs, long nowNs) {
    this.plan = new ExposurePlan(policy, durationMs);
    this.lastStepNs = nowNs;
  }

  /** Returns the state. */
  public State state() {
    return state;
  }

  /** Returns what gateways are to do now. */
  public Directive directive() {
    return switch (state) {
      case State.Waiting _ -> new Directive.Share(0);
      case State.Exposing(double share) -> new Directive.Share(share);
      case State.Committing _ -> new Directive.OnlyTarget();
      case State.Ended(var status) ->
          status == RolloutStatus.State.DONE
              ? new Directive.OnlyTarget()
              : new Directive.OnlyOthers();
    };
  }

  /** Decides by what is known now. */
  public List<Action> step(Input input) {
    verdict.record(input.routes(), (input.nowNs() - lastStepNs) / 1_000_000);
    lastStepNs = input.nowNs();
    List<Action> actions = new ArrayList<>();
    State next = next(input);
    if (!next.getClass().equals(state.getClass())) {
      actions.add(new Action.Explain(explain(next, input)));
      if (next instanceof State.Ended(var status) && status == RolloutStatus.State.ROLLED_BACK) {
        actions.add(new Action.TellAll(new Directive.OnlyOthers()));
      }
    }
    state = next;
    RolloutStatus.State wanted =
        state instanceof State.Ended(var status) ? status : RolloutStatus.State.RUNNING;
    boolean isRecorded = input.recorded().filter(recorded -> recorded == wanted).isPresent();
    boolean isFinal = input.recorded().filter(RolloutStatus.State::isFinal).isPresent();
    if (!isRecorded && !isFinal) {
      actions.add(new Action.Record(wanted));
    }
    return actions;
  }

  private State next(Input input) {
    Optional<RolloutStatus.State> recordedEnd =
        input.recorded().filter(RolloutStatus.State::isFinal);
    if (recordedEnd.isPresent()) {
      return new State.Ended(recordedEnd.get());
    }
    if (state instanceof State.Ended) {
      // A version that turns bad before its end is recorded is still rolled back.
      return verdict.finding().isPresent()
          ? new State.Ended(RolloutStatus.State.ROLLED_BACK)
          : state;
    }
    if (verdict.finding().isPresent()) {
      return new State.Ended(RolloutStatus.State.ROLLED_BACK);
    }
    return nextWithoutFinding(input);
  }

  private State nextWithoutFinding(Input input) {
    if (!input.hasTarget()) {
      return plan.isOver(input.ageMs())
          ? new State.Ended(RolloutStatus.State.ROLLED_BACK)
          : new State.Waiting();
    }
    boolean isJudged = input.sum().target().judged() >= ExposurePlan.MIN_JUDGED;
    if (plan.isOver(input.ageMs()) && !isJudged) {
      return new State.Ended(RolloutStatus.State.ROLLED_BACK);
    }
    if (!input.hasMajority()) {
      return new State.Exposing(plan.unaskedShare());
    }
    if (state instanceof State.Committing) {
      return input.isDrained() || plan.isDrainOver(input.ageMs())
          ? new State.Ended(RolloutStatus.State.DONE)
          : state;
    }
    if (plan.mayCommit(input.ageMs()) && isJudged && !verdict.isSuspicious()) {
      return new State.Committing();
    }
    return new State.Exposing(plan.share(input.ageMs(), input.sum(), input.lagMs()));
  }

  private String explain(State next, Input input) {
    RouteCounts sum = input.sum();
    String counts =
        "new version: %s; others: %s; after %d ms"
            .formatted(describe(sum.target()), describe(sum.others()), input.ageMs());
    return switch (next) {
      case State.Waiting _ -> "waits for servers of the new version";
      case State.Exposing(double share) -> "new version gets %.3f of the sends".formatted(share);
      case State.Committing _ -> "new version gets all sends, " + counts;
      case State.Ended(var status) -> "ends as " + status + reason() + ", " + counts;
    };
  }

  private String reason() {
    return verdict
        .finding()
        .map(
            finding ->
                " for %s on %s (%s, others %s)"
                    .formatted(
                        finding.symptom(),
                        finding.route().isEmpty() ? "all routes" : finding.route(),
                        describe(finding.counts().target()),
                        describe(finding.counts().others())))
        .orElse("");
  }

  private static String describe(OutcomeCounts counts) {
    return "%d sent, %d judged, %d failed, %d slow"
        .formatted(counts.sent(), counts.judged(), counts.failed(), counts.slow());
  }
}
