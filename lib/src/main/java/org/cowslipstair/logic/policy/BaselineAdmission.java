package org.cowslipstair.logic.policy;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.cowslipstair.logic.admission.Admission;
import org.cowslipstair.logic.admission.NotAdmittedException;
import org.cowslipstair.logic.admission.Permit;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.ConfigSnapshot;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.port.MonotonicClock;

/**
 * Admits every call immediately, to a backend server that this gateway picks without coordination
 * and without limits. Its strategies are the baselines that the broker is compared with.
 */
public final class BaselineAdmission implements Admission {
  private final BackendPicker picker;
  private final Supplier<ConfigSnapshot> snapshot;
  private final Supplier<RandomGenerator> random;
  private final MonotonicClock clock;
  private final Consumer<ServiceName> beforePick;
  private final InFlightCounts counts = new InFlightCounts();

  /**
   * Creates an admission.
   *
   * @param random supplies the random generator of the calling thread
   * @param beforePick invoked with the service before each pick, to send probes
   */
  public BaselineAdmission(
      BackendPicker picker,
      Supplier<ConfigSnapshot> snapshot,
      Supplier<RandomGenerator> random,
      MonotonicClock clock,
      Consumer<ServiceName> beforePick) {
    this.picker = picker;
    this.snapshot = snapshot;
    this.random = random;
    this.clock = clock;
    this.beforePick = beforePick;
  }

  @Override
  public Permit admit(AdmissionRequest request) throws NotAdmittedException {
    beforePick.accept(request.service());
    List<BackendServer> candidates = candidates(request);
    if (candidates.isEmpty()) {
      throw new NotAdmittedException(NotRunReason.NO_BACKEND);
    }
    BackendServer backend = picker.pick(candidates, counts, random.get(), clock.nowNs());
    counts.callStarted(backend.name());
    return new BaselinePermit(backend, snapshot, counts, request.deadlineNs());
  }

  private List<BackendServer> candidates(AdmissionRequest request) {
    List<BackendServer> serviceBackends = snapshot.get().candidates(request.service());
    if (request.excluded().isEmpty()) {
      return serviceBackends;
    }
    return serviceBackends.stream()
        .filter(backend -> !request.excluded().contains(backend.name()))
        .toList();
  }
}
