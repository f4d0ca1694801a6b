package org.cowslipstair.model.traffic;

/** What a process of a backend server says in a response about the requests that it wants. */
public sealed interface ServerNotice {
  /** It leaves: it wants no new requests any more. */
  record Leaving() implements ServerNotice {}

  /**
   * It is short of room: it wants no new requests from this gateway for some time.
   *
   * @param untilNs monotonic time at which it wants requests again
   */
  record Paused(long untilNs) implements ServerNotice {}
}
