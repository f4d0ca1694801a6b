package org.cowslipstair.runtime;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

/** The time of day of a machine jumps by minutes while its gateway runs. */
final class ControlLoopTest {
  private static final long PERIOD_MS = 5;
  private static final long STEP_MS = 100;
  private static final int TURNS_PER_STEP = (int) (STEP_MS / PERIOD_MS);

  private final JumpingScheduler scheduler = new JumpingScheduler();
  private final AtomicInteger turns = new AtomicInteger();
  private final ControlLoop loop =
      new ControlLoop(
          () -> TimeUnit.MILLISECONDS.toNanos(scheduler.steadyMs()),
          scheduler,
          new AtomicReference<>(),
          () -> {});

  ControlLoopTest() {
    loop.schedulePeriodically(PERIOD_MS, _ -> turns.incrementAndGet());
    assertThat(turnsInOneStep(), is(TURNS_PER_STEP));
  }

  private int turnsInOneStep() {
    int before = turns.get();
    scheduler.time.advanceTimeBy(STEP_MS, TimeUnit.MILLISECONDS);
    return turns.get() - before;
  }

  @Test
  void keepsItsPaceWhenTheTimeOfDayJumpsBack() {
    scheduler.timeOfDayOffsetMs = -TimeUnit.MINUTES.toMillis(10);
    assertThat(turnsInOneStep(), is(TURNS_PER_STEP));
  }

  @Test
  void keepsItsPaceWhenTheTimeOfDayJumpsForward() {
    scheduler.timeOfDayOffsetMs = TimeUnit.MINUTES.toMillis(10);
    assertThat(turnsInOneStep(), is(TURNS_PER_STEP));
  }

  @Test
  void continuesAfterATaskThatFails() {
    loop.schedulePeriodically(
        PERIOD_MS,
        _ -> {
          throw new IllegalStateException("expected by the test");
        });
    assertThat(turnsInOneStep(), is(TURNS_PER_STEP));
    assertThat(loop.failureCount(), is((long) TURNS_PER_STEP));
  }

  /** Delays follow the steady clock; the time of day is that plus an offset. */
  private static final class JumpingScheduler extends Scheduler {
    private final TestScheduler time = new TestScheduler();
    private long timeOfDayOffsetMs;

    long steadyMs() {
      return time.now(TimeUnit.MILLISECONDS);
    }

    @Override
    public long now(TimeUnit unit) {
      return unit.convert(steadyMs() + timeOfDayOffsetMs, TimeUnit.MILLISECONDS);
    }

    @Override
    public Worker createWorker() {
      Worker steady = time.createWorker();
      return new Worker() {
        @Override
        public Disposable schedule(Runnable task, long delay, TimeUnit unit) {
          return steady.schedule(task, delay, unit);
        }

        @Override
        public long now(TimeUnit unit) {
          return JumpingScheduler.this.now(unit);
        }

        @Override
        public void dispose() {
          steady.dispose();
        }

        @Override
        public boolean isDisposed() {
          return steady.isDisposed();
        }
      };
    }
  }
}
