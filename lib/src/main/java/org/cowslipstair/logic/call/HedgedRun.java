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
 * Sends one call, and sends it to a second backend server when the first takes longer than most
 * calls. The first answer wins. The other attempt may still end for as long as the hedge waited, as
 * an attempt that ends by itself frees its slot at once, and a cancelled one only after a grace.
 */
final class HedgedRun {
  private final CallContext call;
  private final CallProgress progress;
  private final AttemptRunner runner;
  private final HedgeDelays delays;
  private final ExecutorService threads;
  private final Scheduler timer;
  private final HedgeBudget budget;
  private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
  private final List<Attempt> attempts = new ArrayList<>();
  private long loserTimeNs;
  private Disposable hedgeDue = Disposable.disposed();
  private volatile boolean closed;
  private int running;
  private boolean hedged;

  HedgedRun(
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
    this.threads = ports.attemptThreads();
    this.timer = ports.hedgeTimer();
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

  /** Permission to hedge, and its return when no second backend server was free. */
  record HedgeBudget(BooleanSupplier tryTake, Runnable putBack, DelayListener onHedge) {}

  /** Hears that a hedge starts. */
  @FunctionalInterface
  interface DelayListener {
    void hedged(long delayNs);
  }

  /** Whether a second backend server was asked. */
  boolean hedged() {
    return hedged;
  }

  /** Returns the first answer, or else the outcome of the attempt that ended last. */
  AttemptOutcome run() throws InterruptedException {
    try {
      start(false, Set.copyOf(progress.excluded()));
      AttemptOutcome outcome = awaitOutcome();
      endLosers();
      return outcome;
    } catch (InterruptedException e) {
      attempts.forEach(Attempt::cancel);
      throw e;
    } finally {
      closed = true;
      hedgeDue.dispose();
      discardAnswers();
    }
  }

  private AttemptOutcome awaitOutcome() throws InterruptedException {
    while (true) {
      switch (events.take()) {
        case Event.Sending(BackendServer backend, boolean isHedge) -> {
          progress.sending();
          if (!isHedge) {
            scheduleHedge(backend);
          }
        }
        case Event.HedgeDue(BackendName first, long delayNs) -> hedge(first, delayNs);
        case Event.Ended(AttemptOutcome outcome, boolean isHedge) -> {
          running--;
          if (outcome instanceof AttemptOutcome.Answered) {
            return outcome;
          }
          boolean unused = isHedge && isUnused(outcome);
          if (unused) {
            budget.putBack().run();
            hedged = false;
          }
          if (running == 0) {
            return outcome;
          }
          if (!unused) {
            progress.ended(outcome, true);
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
    hedgeDue =
        timer.scheduleDirect(() -> events.add(due), delayNs.getAsLong(), TimeUnit.NANOSECONDS);
  }

  private void hedge(BackendName first, long delayNs) {
    if (hedged || !budget.tryTake().getAsBoolean()) {
      return;
    }
    hedged = true;
    loserTimeNs = delayNs;
    budget.onHedge().hedged(delayNs);
    Set<BackendName> excluded = new HashSet<>(progress.excluded());
    excluded.add(first);
    start(true, excluded);
  }

  private void start(boolean isHedge, Set<BackendName> excluded) {
    running++;
    Attempt attempt = new Attempt();
    attempts.add(attempt);
    attempt.future = threads.submit(() -> runAttempt(attempt, isHedge, excluded));
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
                events.add(new Event.Sending(backend, isHedge));
              });
    } catch (InterruptedException ignored) {
      Thread.currentThread().interrupt();
    } finally {
      events.add(new Event.Ended(outcome, isHedge));
      if (closed) {
        discardAnswers();
      }
    }
  }

  private void endLosers() {
    for (Attempt attempt : attempts) {
      if (attempt.sent.get()) {
        timer.scheduleDirect(attempt::cancel, loserTimeNs, TimeUnit.NANOSECONDS);
      } else {
        attempt.cancel();
      }
    }
  }

  private void discardAnswers() {
    Event event = events.poll();
    while (event != null) {
      if (event instanceof Event.Ended(AttemptOutcome.Answered(TrackedAnswer answer), boolean _)) {
        answer.close();
      }
      event = events.poll();
    }
  }

  private static boolean isUnused(AttemptOutcome outcome) {
    return outcome instanceof AttemptOutcome.NotAdmitted
        || outcome instanceof AttemptOutcome.NotStarted;
  }

  /** What the calling thread waits for. */
  private sealed interface Event {
    record Sending(BackendServer backend, boolean isHedge) implements Event {}

    record HedgeDue(BackendName first, long delayNs) implements Event {}

    record Ended(AttemptOutcome outcome, boolean isHedge) implements Event {}
  }
}
