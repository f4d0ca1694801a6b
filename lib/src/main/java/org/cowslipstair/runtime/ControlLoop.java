package org.cowslipstair.runtime;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.disposables.SerialDisposable;
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
 * The single thread that makes the decisions of one gateway. Runs tasks in the order of their
 * submission, from any thread; an exception of a task is logged and counted, and the next task
 * runs.
 */
public final class ControlLoop implements Executor, AutoCloseable {
  private static final Logger LOG = Logger.getLogger(ControlLoop.class);
  private static final ThreadMXBean THREAD_MX_BEAN = ManagementFactory.getThreadMXBean();

  private final MonotonicClock clock;
  private final AtomicReference<Thread> thread;
  private final Runnable onClosed;
  private final Scheduler.Worker worker;
  private final CompositeDisposable timers = new CompositeDisposable();
  private final LongAdder startedTasks = new LongAdder();
  private final LongAdder failedTasks = new LongAdder();

  /** An executor with one thread. */
  private static final class OwnThread {
    private final AtomicReference<Thread> thread = new AtomicReference<>();
    private final ExecutorService executor;

    private OwnThread(String name) {
      this.executor =
          Executors.newSingleThreadExecutor(
              task -> {
                Thread created = Thread.ofPlatform().name(name).daemon(true).unstarted(task);
                thread.set(created);
                return created;
              });
    }
  }

  /** Starts the thread. */
  public ControlLoop(String name, MonotonicClock clock) {
    this(clock, new OwnThread(name));
  }

  private ControlLoop(MonotonicClock clock, OwnThread own) {
    this(clock, Schedulers.from(own.executor), own.thread, own.executor::shutdownNow);
  }

  /**
   * Creates a loop on the thread of a scheduler.
   *
   * @param thread receives the thread, for its processor time
   * @param onClosed called when the loop is closed
   */
  ControlLoop(
      MonotonicClock clock,
      Scheduler scheduler,
      AtomicReference<Thread> thread,
      Runnable onClosed) {
    this.clock = clock;
    this.worker = scheduler.createWorker();
    this.thread = thread;
    this.onClosed = onClosed;
  }

  @Override
  public void execute(Runnable task) {
    worker.schedule(() -> run(task));
  }

  /**
   * Runs a task periodically and passes it the current monotonic time in nanoseconds. Schedules
   * each run by a delay, because RxJava's own periodic schedule follows the time of day, which may
   * jump.
   */
  public void schedulePeriodically(long periodMs, LongConsumer task) {
    SerialDisposable timer = new SerialDisposable();
    timers.add(timer);
    scheduleNext(periodMs, task, timer);
  }

  private void scheduleNext(long periodMs, LongConsumer task, SerialDisposable timer) {
    timer.set(
        worker.schedule(
            () -> {
              run(() -> task.accept(clock.nowNs()));
              scheduleNext(periodMs, task, timer);
            },
            periodMs,
            TimeUnit.MILLISECONDS));
  }

  private void run(Runnable task) {
    startedTasks.increment();
    try {
      task.run();
    } catch (RuntimeException | AssertionError e) {
      failedTasks.increment();
      LOG.error("control: a task failed", e);
    }
  }

  /** Returns the number of tasks run so far, failed ones included. */
  public long taskCount() {
    return startedTasks.sum();
  }

  /** Returns the number of tasks that threw an exception. */
  public long failureCount() {
    return failedTasks.sum();
  }

  /** Returns the processor time of the control thread in nanoseconds, 0 if it is unavailable. */
  public long cpuTimeNs() {
    Thread current = thread.get();
    if (current == null || !THREAD_MX_BEAN.isThreadCpuTimeEnabled()) {
      return 0;
    }
    return Math.max(0, THREAD_MX_BEAN.getThreadCpuTime(current.threadId()));
  }

  @Override
  public void close() {
    timers.dispose();
    worker.dispose();
    onClosed.run();
  }
}
