package org.cowslipstair.logic.backend;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.Labels;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.pool.PoolId;

/** Creates backend servers and pools for tests. */
final class BackendFixtures {
  static final long NS_PER_MS = 1_000_000L;
  static final ZoneName ZONE = new ZoneName("tz-north-a");
  static final PoolId POOL = new PoolId(new ServiceName("watch"), ZONE);

  private BackendFixtures() {}

  static PoolBackendTracker pool(BackendTrackerSettings settings, long seed) {
    return new PoolBackendTracker(POOL, settings, new Random(seed), InvariantMonitor.failing());
  }

  /** Returns the default settings with a different number of successes per step. */
  static BackendTrackerSettings settings(int successesPerStep) {
    BackendTrackerSettings defaults = BackendTrackerSettings.defaults();
    return new BackendTrackerSettings(
        defaults.probesPerSecond(),
        successesPerStep,
        defaults.farAboveFactor(),
        defaults.farAboveFloorNs(),
        defaults.slowRunFactor(),
        defaults.slowRunLength(),
        defaults.firstRetryNs(),
        defaults.longestRetryNs(),
        defaults.probeAfterSilenceNs(),
        defaults.coldAfterSilenceNs());
  }

  static BackendName name(int number) {
    return new BackendName("watch-" + number);
  }

  static Set<BackendName> names(int count) {
    Set<BackendName> names = new HashSet<>();
    for (int i = 0; i < count; i++) {
      names.add(name(i));
    }
    return names;
  }

  static List<BackendServer> servers(int count, int slots) {
    List<BackendServer> servers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      HostPort address = new HostPort("127.0.0.1", 1 + i);
      servers.add(new BackendServer(name(i), Labels.empty(), ZONE, address, slots, 260));
    }
    return servers;
  }
}
