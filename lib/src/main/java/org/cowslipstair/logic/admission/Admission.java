package org.cowslipstair.logic.admission;

import java.util.Set;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.ServiceName;

/** Grants slots of backend servers to calls; one implementation for each policy. */
public interface Admission {
  /**
   * Acquires a slot; waits for one unless the request allows only a free slot.
   *
   * @throws NotAdmittedException if no slot was granted before the deadline, or none can be
   * @throws InterruptedException if the calling thread was interrupted; no slot is held then
   */
  Permit admit(AdmissionRequest request) throws NotAdmittedException, InterruptedException;

  /**
   * Requirements of a call on its slot.
   *
   * @param deadlineNs monotonic time of the deadline of the call, in nanoseconds
   * @param freeSlotOnly whether to refuse immediately instead of waiting, as for a hedge
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
