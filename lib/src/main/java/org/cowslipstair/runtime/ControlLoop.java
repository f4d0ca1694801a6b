package org.cowslipstair.runtime;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.schedulers.Schedulers;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongConsumer;
import org.cowslipstair.port.MonotonicClock;
import org.jboss.logging.Logger;

/**
 * The only thread that drives the decisions of one gateway. Runs tasks in the order in which they
 * came; a task that throws is logged and counted, and the next one runs.
 */
public final class ControlLoop implements Executor, AutoCloseable {
  private static final Logger LOG = Logger.getLogger(ControlLoop.class);
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

  private final MonotonicClock clock;
  private final AtomicReference<Thread> thread = new AtomicReference<>();
  private final ExecutorService executor;
  private final Scheduler.Worker worker;
  private final CompositeDisposable timers = new CompositeDisposable();
  private final LongAdder tasks = new LongAdder();
  private final LongAdder failures = new LongAdder();

  /** Starts the thread. */
  public ControlLoop(String name, MonotonicClock clock) {
    this.clock = clock;
    this.executor =
        Executors.newSingleThreadExecutor(
            task -> {
              Thread created = Thread.ofPlatform().name(name).daemon(true).unstarted(task);
              thread.set(created);
              return created;
            });
    this.worker = Schedulers.from(executor).createWorker();
  }

  @Override
  public void execute(Runnable task) {
    worker.schedule(() -> run(task));
  }

  /** Calls a task with the current monotonic time in nanoseconds, again and again. */
  public void every(long periodMs, LongConsumer task) {
    timers.add(
        worker.schedulePeriodically(
            () -> run(() -> task.accept(clock.nowNs())),
            periodMs,
            periodMs,
            TimeUnit.MILLISECONDS));
  }

  private void run(Runnable task) {
    tasks.increment();
    try {
      task.run();
    } catch (RuntimeException | AssertionError e) {
      failures.increment();
      LOG.error("control: a task failed", e);
    }
  }

  /** Returns the number of tasks that ran. */
  public long taskCount() {
    return tasks.sum();
  }

  /** Returns the number of tasks that threw. */
  public long failureCount() {
    return failures.sum();
  }

  /** Returns the processor time of the control thread in nanoseconds, 0 if it is not known. */
  public long cpuTimeNs() {
    Thread current = thread.get();
    if (current == null || !THREADS.isThreadCpuTimeEnabled()) {
      return 0;
    }
    return Math.max(0, THREADS.getThreadCpuTime(current.threadId()));
  }

  @Override
  public void close() {
    timers.dispose();
    worker.dispose();
    executor.shutdownNow();
  }
}
