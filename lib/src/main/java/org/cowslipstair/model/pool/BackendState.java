package org.cowslipstair.model.pool;

/** State of a backend server as estimated by its broker. */
public sealed interface BackendState {
  /** The backend server is starting, or its state is unknown. */
  record Cold(int successes) implements BackendState {}

  /** The backend server can use all of its slots. */
  record Warm() implements BackendState {}

  /** The backend server refused calls; no call is sent to it before the given time. */
  record Shedding(long retryAtNs) implements BackendState {}

  /** Calls fail or time out; from the given time, one call at a time is sent. */
  record Suspect(long retryAtNs, int failures) implements BackendState {}

  /** The backend server is leaving; no new calls are sent to it. */
  record Leaving() implements BackendState {}
}
