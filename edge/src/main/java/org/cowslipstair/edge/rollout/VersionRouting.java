package org.cowslipstair.edge.rollout;

import org.cowslipstair.logic.rollout.VersionChoice;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.traffic.BackendInstance;

/** Decides to which versions of a service a send may go, and learns how it ended. */
public interface VersionRouting {
  /** Decides for one send. */
  VersionChoice choose(ServiceName service);

  /**
   * Records that a request is sent.
   *
   * @param usualNs usual service time of the route, in nanoseconds
   */
  Send recordSent(String route, BackendInstance backend, double usualNs);

  /** A request that has been sent to a backend server. */
  interface Send {
    /** Records how it ended; called once. */
    void recordEnd(Ending ending);
  }

  /** How a send ended. */
  enum Ending {
    SUCCEEDED,
    FAILED,
    /** The backend server did not run it. */
    REFUSED,
    /** This gateway did not wait for its end. */
    CANCELLED
  }

  /** Returns the routing of a fleet that carries out no rollouts. */
  static VersionRouting unrestricted() {
    VersionChoice any = new VersionChoice.Any();
    Send untracked = _ -> {};
    return new VersionRouting() {
      @Override
      public VersionChoice choose(ServiceName service) {
        return any;
      }

      @Override
      public Send recordSent(String route, BackendInstance backend, double usualNs) {
        return untracked;
      }
    };
  }
}
