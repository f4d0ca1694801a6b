package org.cowslipstair.edge.loop;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.jboss.logging.Logger;

/**
 * Task that an event loop repeats. An unexpected error in one run is logged and does not end the
 * task, without which a gateway would go on with what it knew at that moment.
 */
public final class RepeatedTask {
  private static final Logger LOG = Logger.getLogger(RepeatedTask.class);

  /** Time from a failed run to the next one. */
  static final long FAILURE_DELAY_MS = 1_000;

  private final ScheduledExecutorService loop;
  private final String name;
  private final LongSupplier run;

  private RepeatedTask(ScheduledExecutorService loop, String name, LongSupplier run) {
    this.loop = loop;
    this.name = name;
    this.run = run;
  }

  /**
   * Runs a task at once, on the calling thread, and again and again on the event loop.
   *
   * @param name name of the task, for the log
   * @param run returns the time in milliseconds until the next run
   */
  public static void start(ScheduledExecutorService loop, String name, LongSupplier run) {
    new RepeatedTask(loop, name, run).run();
  }

  private void run() {
    long delayMs = FAILURE_DELAY_MS;
    try {
      delayMs = run.getAsLong();
    } catch (RuntimeException e) {
      LOG.errorf(e, "%s: unexpected error, repeated in %d ms", name, delayMs);
    }
    loop.schedule(this::run, delayMs, TimeUnit.MILLISECONDS);
  }
}
