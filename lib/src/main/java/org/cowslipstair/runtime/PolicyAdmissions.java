package org.cowslipstair.runtime;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.cowslipstair.logic.admission.Admission;
import org.cowslipstair.logic.policy.BackendPicker;
import org.cowslipstair.logic.policy.BaselineAdmission;
import org.cowslipstair.logic.policy.ProbeResults;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.ConfigSnapshot;
import org.cowslipstair.model.config.PolicyKind;
import org.cowslipstair.model.config.Service;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.port.BackendProbe;
import org.cowslipstair.port.MonotonicClock;

/** Provides the admission of each service according to its policy; creates it on first use. */
public final class PolicyAdmissions implements Function<Service, Admission> {
  private static final int LEAST_IN_FLIGHT_CHOICES = 2;
  private static final int PROBES_PER_CALL = 3;
  private static final int MAX_CONCURRENT_PROBES = 64;
  private static final long PROBE_TIMEOUT_MS = 200;

  private final Admission brokerAdmission;
  private final Supplier<ConfigSnapshot> snapshot;
  private final Supplier<RandomGenerator> random;
  private final MonotonicClock clock;
  private final BackendProbe probe;
  private final AtomicInteger concurrentProbes = new AtomicInteger();
  private final Map<AdmissionKey, Admission> admissions = new ConcurrentHashMap<>();

  private record AdmissionKey(ServiceName service, PolicyKind policy) {}

  /**
   * Creates a provider without admissions.
   *
   * @param brokerAdmission admission of services with the broker policy
   * @param random returns the random generator of the calling thread
   */
  public PolicyAdmissions(
      Admission brokerAdmission,
      Supplier<ConfigSnapshot> snapshot,
      Supplier<RandomGenerator> random,
      MonotonicClock clock,
      BackendProbe probe) {
    this.brokerAdmission = brokerAdmission;
    this.snapshot = snapshot;
    this.random = random;
    this.clock = clock;
    this.probe = probe;
  }

  @Override
  public Admission apply(Service service) {
    if (service.policy() == PolicyKind.BROKER) {
      return brokerAdmission;
    }
    return admissions.computeIfAbsent(
        new AdmissionKey(service.name(), service.policy()), this::create);
  }

  private Admission create(AdmissionKey key) {
    return switch (key.policy) {
      case RANDOM -> createBaseline(new BackendPicker.Random());
      case ROUND_ROBIN -> createBaseline(new BackendPicker.RoundRobin(new AtomicInteger()));
      case LEAST_IN_FLIGHT ->
          createBaseline(new BackendPicker.LeastInFlight(LEAST_IN_FLIGHT_CHOICES));
      case PROBING -> createProbing();
      case BROKER -> brokerAdmission;
    };
  }

  private Admission createBaseline(BackendPicker picker) {
    return new BaselineAdmission(picker, snapshot, random, clock, _ -> {});
  }

  private Admission createProbing() {
    ProbeResults results = new ProbeResults();
    return new BaselineAdmission(
        new BackendPicker.Probed(results),
        snapshot,
        random,
        clock,
        service -> sendProbes(service, results));
  }

  private void sendProbes(ServiceName service, ProbeResults results) {
    List<BackendServer> candidates = snapshot.get().candidates(service);
    if (candidates.isEmpty()) {
      return;
    }
    for (int i = 0; i < PROBES_PER_CALL; i++) {
      BackendServer target = candidates.get(random.get().nextInt(candidates.size()));
      if (concurrentProbes.incrementAndGet() > MAX_CONCURRENT_PROBES) {
        concurrentProbes.decrementAndGet();
        return;
      }
      Thread.startVirtualThread(() -> sendProbe(target, results));
    }
  }

  private void sendProbe(BackendServer target, ProbeResults results) {
    try {
      probe
          .probe(target, PROBE_TIMEOUT_MS)
          .ifPresent(report -> results.add(target.name(), report, clock.nowNs()));
    } finally {
      concurrentProbes.decrementAndGet();
    }
  }
}
