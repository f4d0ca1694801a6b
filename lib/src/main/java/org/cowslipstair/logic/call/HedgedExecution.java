package org.cowslipstair.logic.call;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.pool.PoolId;

/**
 * Sends one call, and sends it to a second backend server if the first takes longer than most
 * calls. The first response wins. The losing attempt may continue for as long as the hedge was
 * delayed before it is cancelled, because an attempt that completes frees its slot at once, whereas
 * a cancelled one frees it only after a grace period.
 */
final class HedgedExecution {
  private final CallContext call;
  private final CallProgress progress;
  private final AttemptRunner runner;
  private final HedgeDelays delays;
  private final ExecutorService attemptExecutor;
  private final Scheduler hedgeTimer;
  private final HedgeBudget budget;
  private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
  private final List<Attempt> attempts = new ArrayList<>();
  private long loserGraceNs;
  private Disposable hedgeTask = Disposable.disposed();
  private volatile boolean closed;
  private int runningAttempts;
  private boolean hedged;

  HedgedExecution(
      CallContext call,
      CallProgress progress,
      AttemptRunner runner,
      HedgeDelays delays,
      CallPorts ports,
      HedgeBudget budget) {
    this.call = call;
    this.progress = progress;
    this.runner = runner;
    this.delays = delays;
    this.attemptExecutor = ports.attemptExecutor();
    this.hedgeTimer = ports.hedgeTimer();
    this.budget = budget;
  }

  /** One attempt on a thread of its own. */
  private static final class Attempt {
    private final AtomicBoolean sent = new AtomicBoolean();
    private volatile Future<?> future = CompletableFuture.completedFuture(null);

    void cancel() {
      future.cancel(true);
    }
  }

  /**
   * Hedge budget of the service, refunded for hedges that were never sent, and a listener for
   * hedges.
   */
  record HedgeBudget(BooleanSupplier tryAcquire, Runnable refund, HedgeListener listener) {}

  /** Notified when a hedge starts. */
  @FunctionalInterface
  interface HedgeListener {
    void hedgeStarted(long delayNs);
  }

  /** Returns whether the call was sent to a second backend server. */
  boolean isHedged() {
    return hedged;
  }

  /** Returns the first response, or the outcome of the last attempt if none was answered. */
  AttemptOutcome run() throws InterruptedException {
    try {
      startAttempt(false, Set.copyOf(progress.excluded()));
      AttemptOutcome outcome = awaitOutcome();
      cancelLosers();
      return outcome;
    } catch (InterruptedException e) {
      attempts.forEach(Attempt::cancel);
      throw e;
    } finally {
      closed = true;
      hedgeTask.dispose();
      closeUnusedResponses();
    }
  }

  private AttemptOutcome awaitOutcome() throws InterruptedException {
    while (true) {
      switch (events.take()) {
        case Event.SendStarting(BackendServer backend, boolean isHedge) -> {
          progress.recordSend();
          if (!isHedge) {
            scheduleHedge(backend);
          }
        }
        case Event.HedgeDue(BackendName first, long delayNs) -> startHedge(first, delayNs);
        case Event.Completed(AttemptOutcome outcome, boolean isHedge) -> {
          runningAttempts--;
          if (outcome instanceof AttemptOutcome.Answered) {
            return outcome;
          }
          boolean hedgeNeverSent = isHedge && isNeverSent(outcome);
          if (hedgeNeverSent) {
            budget.refund().run();
            hedged = false;
          }
          if (runningAttempts == 0) {
            return outcome;
          }
          if (!hedgeNeverSent) {
            progress.recordOutcome(outcome, true);
          }
        }
      }
    }
  }

  private void scheduleHedge(BackendServer backend) {
    OptionalLong delayNs = delays.delayNs(new PoolId(call.service().name(), backend.zone()));
    if (delayNs.isEmpty()) {
      return;
    }
    Event due = new Event.HedgeDue(backend.name(), delayNs.getAsLong());
    hedgeTask =
        hedgeTimer.scheduleDirect(() -> events.add(due), delayNs.getAsLong(), TimeUnit.NANOSECONDS);
  }

  private void startHedge(BackendName first, long delayNs) {
    if (hedged || !budget.tryAcquire().getAsBoolean()) {
      return;
    }
    hedged = true;
    loserGraceNs = delayNs;
    budget.listener().hedgeStarted(delayNs);
    Set<BackendName> excluded = new HashSet<>(progress.excluded());
    excluded.add(first);
    startAttempt(true, excluded);
  }

  private void startAttempt(boolean isHedge, Set<BackendName> excluded) {
    runningAttempts++;
    Attempt attempt = new Attempt();
    attempts.add(attempt);
    attempt.future = attemptExecutor.submit(() -> runAttempt(attempt, isHedge, excluded));
  }

  private void runAttempt(Attempt attempt, boolean isHedge, Set<BackendName> excluded) {
    AttemptOutcome outcome = new AttemptOutcome.Cancelled();
    try {
      outcome =
          runner.run(
              call,
              excluded,
              isHedge,
              backend -> {
                attempt.sent.set(true);
                events.add(new Event.SendStarting(backend, isHedge));
              });
    } catch (InterruptedException ignored) {
      Thread.currentThread().interrupt();
    } finally {
      events.add(new Event.Completed(outcome, isHedge));
      if (closed) {
        closeUnusedResponses();
      }
    }
  }

  private void cancelLosers() {
    for (Attempt attempt : attempts) {
      if (attempt.sent.get()) {
        hedgeTimer.scheduleDirect(attempt::cancel, loserGraceNs, TimeUnit.NANOSECONDS);
      } else {
        attempt.cancel();
      }
    }
  }

  private void closeUnusedResponses() {
    Event event = events.poll();
    while (event != null) {
      if (event
          instanceof
          Event.Completed(AttemptOutcome.Answered(TrackedResponse response), boolean _)) {
        response.close();
      }
      event = events.poll();
    }
  }

  private static boolean isNeverSent(AttemptOutcome outcome) {
    return outcome instanceof AttemptOutcome.NotAdmitted
        || outcome instanceof AttemptOutcome.NotStarted;
  }

  /** Event that the calling thread waits for. */
  private sealed interface Event {
    record SendStarting(BackendServer backend, boolean isHedge) implements Event {}

    record HedgeDue(BackendName first, long delayNs) implements Event {}

    record Completed(AttemptOutcome outcome, boolean isHedge) implements Event {}
  }
}
