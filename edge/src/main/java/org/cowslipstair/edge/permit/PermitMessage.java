package org.cowslipstair.edge.permit;

import java.util.Optional;
import org.cowslipstair.model.traffic.BackendProcess;
import org.cowslipstair.model.traffic.RateLimit;

/** Message between a gateway and the one that issues the permits of a backend server. */
sealed interface PermitMessage {
  /**
   * Requests a permit.
   *
   * @param id number of the request on its connection; the reply repeats it
   * @param requests number of requests that the permit is for, probes included: 1 or 2; 0 to tell
   *     what the sender has observed and to learn whether the receiver issues permits
   */
  record Request(long id, BackendProcess backend, int requests, Optional<Observed> observed)
      implements PermitMessage {
    /** Validates the number. */
    public Request {
      if (requests < 0 || requests > 2) {
        throw new IllegalArgumentException("permit for " + requests + " requests");
      }
    }
  }

  /** Responds to a request for a permit. */
  record Reply(long id, Verdict verdict, Optional<Observed> observed) implements PermitMessage {}

  /**
   * Newest observation of the sender.
   *
   * @param limit advertised limit; empty if the backend server advertises none
   * @param ageMs time since the observation
   */
  record Observed(Optional<RateLimit> limit, long ageMs) {
    private static final long MAX_AGE_MS = 30 * 86_400_000L;

    /** Bounds the age. An observation of the future would never be replaced by a newer one. */
    public Observed {
      ageMs = Math.clamp(ageMs, 0, MAX_AGE_MS);
    }
  }

  /** Decision about a request. */
  sealed interface Verdict {
    /** One request may be sent. */
    record Granted() implements Verdict {}

    /** The backend server does not advertise a limit any more. */
    record Unlimited() implements Verdict {}

    /** No permit is available for the given time. */
    record Denied(long availableInMs) implements Verdict {
      private static final long MAX_WAIT_MS = 60_000;

      /** Bounds the time in which the receiver requests no other permit. */
      public Denied {
        availableInMs = Math.clamp(availableInMs, 0, MAX_WAIT_MS);
      }
    }

    /** The receiver does not issue the permits of the backend server. */
    record NotIssuer() implements Verdict {}
  }
}
