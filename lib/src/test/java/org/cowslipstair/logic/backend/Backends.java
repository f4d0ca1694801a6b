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

/** Backend servers for tests. */
final class Backends {
  static final long NS_PER_MS = 1_000_000L;
  static final ZoneName ZONE = new ZoneName("tz-north-a");
  static final PoolId POOL = new PoolId(new ServiceName("watch"), ZONE);

  private Backends() {}

  static PoolBackends pool(BackendTrackerSettings settings, long seed) {
    return new PoolBackends(POOL, settings, new Random(seed), InvariantMonitor.failing());
  }

  /** Settings under which limits rise after few successes. */
  static BackendTrackerSettings shortRuns(int successesPerStep) {
    BackendTrackerSettings usual = BackendTrackerSettings.defaults();
    return new BackendTrackerSettings(
        usual.probesPerSecond(),
        successesPerStep,
        usual.farAboveFactor(),
        usual.farAboveFloorNs(),
        usual.slowRunFactor(),
        usual.slowRunLength(),
        usual.firstRetryNs(),
        usual.longestRetryNs(),
        usual.probeAfterSilenceNs(),
        usual.coldAfterSilenceNs());
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
