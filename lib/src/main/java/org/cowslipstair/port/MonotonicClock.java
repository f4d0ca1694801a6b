package org.cowslipstair.port;

/** Monotonic time of one process; never compared between processes. */
@FunctionalInterface
public interface MonotonicClock {
  /** Returns the current time in nanoseconds. */
  long nowNs();

  /** Returns the clock of the running process. */
  static MonotonicClock system() {
    return System::nanoTime;
  }
}
