package org.cowslipstair.logic.admission;

import java.util.Set;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.ServiceName;

/** Grants slots of backend servers to calls; one implementation for each policy. */
public interface Admission {
  /**
   * Waits for a slot.
   *
   * @throws NotAdmittedException if there is none before the deadline, or can be none
   * @throws InterruptedException if the calling thread was interrupted; no slot is held then
   */
  Permit admit(AdmissionRequest request) throws NotAdmittedException, InterruptedException;

  /**
   * What a call asks for.
   *
   * @param deadlineNs monotonic time at which the call is given up
   * @param freeSlotOnly whether to refuse at once instead of waiting, as for a hedge
   * @param excluded backend servers that must not be chosen
   */
  record AdmissionRequest(
      ServiceName service, long deadlineNs, boolean freeSlotOnly, Set<BackendName> excluded) {
    /** Copies the set. */
    public AdmissionRequest {
      excluded = Set.copyOf(excluded);
    }
  }
}
