package org.cowslipstair.model.pool;

/** What a broker believes about one backend server. */
public sealed interface BackendState {
  /** The backend server is starting, or nothing is known about it. */
  record Cold(int successes) implements BackendState {}

  /** The backend server bears its whole slots. */
  record Warm() implements BackendState {}

  /** The backend server refused calls; no call before the given time. */
  record Shedding(long retryAtNs) implements BackendState {}

  /** Calls fail or hang; one call at a time from the given time on. */
  record Suspect(long retryAtNs, int failures) implements BackendState {}

  /** No new calls. */
  record Leaving() implements BackendState {}
}
