package org.cowslipstair.port;

/** Monotonic clock of one process; its times cannot be compared between processes. */
@FunctionalInterface
public interface MonotonicClock {
  /** Returns the current time in nanoseconds. */
  long nowNs();

  /** Returns the system clock of this process. */
  static MonotonicClock system() {
    return System::nanoTime;
  }
}
