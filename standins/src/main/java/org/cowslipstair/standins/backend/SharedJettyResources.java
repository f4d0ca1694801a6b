package org.cowslipstair.standins.backend;

import java.util.concurrent.Executors;
import org.eclipse.jetty.io.ArrayByteBufferPool;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Threads, scheduler and buffers shared by all stand-ins of a process, so that hundreds can run.
 */
final class SharedJettyResources {
  private static final int MAX_THREADS = 2_000;
  private static final int MIN_THREADS = 4;
  private static final int THREAD_IDLE_MS = 10_000;
  private static final SharedJettyResources SHARED = new SharedJettyResources();

  private final QueuedThreadPool threads;
  private final Scheduler scheduler;
  private final ByteBufferPool buffers = new ArrayByteBufferPool();

  private SharedJettyResources() {
    threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS, THREAD_IDLE_MS);
    threads.setName("standin");
    threads.setDaemon(true);
    threads.setReservedThreads(0);
    threads.setVirtualThreadsExecutor(Executors.newVirtualThreadPerTaskExecutor());
    scheduler = new ScheduledExecutorScheduler("standin-scheduler", true);
    LifeCycle.start(threads);
    LifeCycle.start(scheduler);
  }

  static SharedJettyResources shared() {
    return SHARED;
  }

  QueuedThreadPool threads() {
    return threads;
  }

  Scheduler scheduler() {
    return scheduler;
  }

  ByteBufferPool buffers() {
    return buffers;
  }
}
