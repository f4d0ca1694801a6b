package org.cowslipstair.runtime;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.cowslipstair.logic.admission.Admission;
import org.cowslipstair.logic.policy.BackendChoice;
import org.cowslipstair.logic.policy.BaselineAdmission;
import org.cowslipstair.logic.policy.ProbePool;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.ConfigSnapshot;
import org.cowslipstair.model.config.PolicyKind;
import org.cowslipstair.model.config.Service;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.port.BackendProbe;
import org.cowslipstair.port.MonotonicClock;

/** Returns the admission of a service by its policy, and creates it on first use. */
public final class PolicyAdmissions implements Function<Service, Admission> {
  private static final int CHOICES = 2;
  private static final int PROBES_PER_CALL = 3;
  private static final int MAX_PROBES_AT_ONCE = 64;
  private static final long PROBE_TIMEOUT_MS = 200;

  private final Admission broker;
  private final Supplier<ConfigSnapshot> snapshot;
  private final Supplier<RandomGenerator> random;
  private final MonotonicClock clock;
  private final BackendProbe probe;
  private final AtomicInteger probesAtOnce = new AtomicInteger();
  private final Map<Key, Admission> admissions = new ConcurrentHashMap<>();

  private record Key(ServiceName service, PolicyKind policy) {}

  /**
   * Creates the admissions.
   *
   * @param broker admission of services with the broker policy
   * @param random source for the calling thread
   */
  public PolicyAdmissions(
      Admission broker,
      Supplier<ConfigSnapshot> snapshot,
      Supplier<RandomGenerator> random,
      MonotonicClock clock,
      BackendProbe probe) {
    this.broker = broker;
    this.snapshot = snapshot;
    this.random = random;
    this.clock = clock;
    this.probe = probe;
  }

  @Override
  public Admission apply(Service service) {
    if (service.policy() == PolicyKind.BROKER) {
      return broker;
    }
    return admissions.computeIfAbsent(new Key(service.name(), service.policy()), this::create);
  }

  private Admission create(Key key) {
    return switch (key.policy) {
      case RANDOM -> baseline(new BackendChoice.Random());
      case ROUND_ROBIN -> baseline(new BackendChoice.RoundRobin(new AtomicInteger()));
      case LEAST_IN_FLIGHT -> baseline(new BackendChoice.LeastInFlight(CHOICES));
      case PROBING -> probing();
      case BROKER -> broker;
    };
  }

  private Admission baseline(BackendChoice choice) {
    return new BaselineAdmission(choice, snapshot, random, clock, _ -> {});
  }

  private Admission probing() {
    ProbePool pool = new ProbePool();
    return new BaselineAdmission(
        new BackendChoice.Probed(pool),
        snapshot,
        random,
        clock,
        service -> sendProbes(service, pool));
  }

  private void sendProbes(ServiceName service, ProbePool pool) {
    List<BackendServer> candidates = snapshot.get().candidates(service);
    if (candidates.isEmpty()) {
      return;
    }
    for (int i = 0; i < PROBES_PER_CALL; i++) {
      BackendServer target = candidates.get(random.get().nextInt(candidates.size()));
      if (probesAtOnce.incrementAndGet() > MAX_PROBES_AT_ONCE) {
        probesAtOnce.decrementAndGet();
        return;
      }
      Thread.startVirtualThread(() -> sendProbe(target, pool));
    }
  }

  private void sendProbe(BackendServer target, ProbePool pool) {
    try {
      probe
          .probe(target, PROBE_TIMEOUT_MS)
          .ifPresent(report -> pool.add(target.name(), report, clock.nowNs()));
    } finally {
      probesAtOnce.decrementAndGet();
    }
  }
}
