package org.cowslipstair.logic.call;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Counts delayed tasks, so that a test can wait until one has been scheduled. */
final class CountingScheduler extends Scheduler {
  private final Scheduler delegate;
  final AtomicInteger scheduledTasks = new AtomicInteger();

  CountingScheduler(Scheduler delegate) {
    this.delegate = delegate;
  }

  @Override
  public Worker createWorker() {
    return delegate.createWorker();
  }

  @Override
  public Disposable scheduleDirect(Runnable run, long delay, TimeUnit unit) {
    Disposable task = delegate.scheduleDirect(run, delay, unit);
    scheduledTasks.incrementAndGet();
    return task;
  }
}
