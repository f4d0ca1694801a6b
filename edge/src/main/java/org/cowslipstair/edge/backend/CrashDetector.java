package org.cowslipstair.edge.backend;

import java.util.Optional;
import java.util.function.Consumer;
import org.cowslipstair.edge.http.ServerConnection;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.traffic.LoadReport;
import org.cowslipstair.model.traffic.ServiceConfig;
import org.cowslipstair.port.MonotonicClock;

/**
 * Finds out whether a backend server has crashed after one of its connections has ended. A
 * connection can also be reset, a response cut short, or a server stopped as planned. Used on the
 * event loop only.
 */
public final class CrashDetector {
  /** Connections that may turn out to be closed before one shows whether the server runs. */
  private static final int MAX_LOST_CONNECTIONS = 3;

  private final BackendTable table;
  private final Prober prober;
  private final MonotonicClock clock;

  /** Creates a detector. */
  public CrashDetector(BackendTable table, Prober prober, MonotonicClock clock) {
    this.table = table;
    this.prober = prober;
    this.clock = clock;
  }

  /**
   * Finds out whether the process of a backend server has ended.
   *
   * @param onResult receives the result once; false if it cannot be told
   */
  public void check(BackendEntry entry, Consumer<Boolean> onResult) {
    if (!isInService(entry)) {
      onResult.accept(false);
    } else if (entry.stats().rateLimit().isPresent() || !wantsRequests(entry)) {
      connect(entry, onResult);
    } else {
      probe(entry, MAX_LOST_CONNECTIONS, onResult);
    }
  }

  private boolean isInService(BackendEntry entry) {
    boolean isKnown = table.find(entry.stats().instance().name()).filter(entry::equals).isPresent();
    return isKnown && !entry.stats().instance().leaving();
  }

  private boolean wantsRequests(BackendEntry entry) {
    return entry.stats().notices().allowRequest(0, clock.nowNs());
  }

  /** Shows less than a probe, but counts neither as a request nor toward the probe budget. */
  private void connect(BackendEntry entry, Consumer<Boolean> onResult) {
    table.acquire(
        entry,
        connection -> {
          table.release(entry, connection);
          onResult.accept(false);
        },
        cause -> onResult.accept(Prober.isRefused(cause) && isInService(entry)));
  }

  private void probe(BackendEntry entry, int connections, Consumer<Boolean> onResult) {
    prober.probe(
        entry,
        healthPath(entry.stats().instance().service()),
        new Prober.Listener() {
          @Override
          public void onResponse(ServerConnection connection, Optional<LoadReport> report) {
            table.release(entry, connection);
            onResult.accept(false);
          }

          @Override
          public void onFailure(Prober.ProbeFailure failure) {
            boolean hasEnded =
                failure == Prober.ProbeFailure.REFUSED
                    || failure == Prober.ProbeFailure.OTHER_INSTANCE;
            if (failure == Prober.ProbeFailure.LOST && connections > 1) {
              probe(entry, connections - 1, onResult);
            } else if (failure == Prober.ProbeFailure.OVER_BUDGET) {
              connect(entry, onResult);
            } else {
              onResult.accept(hasEnded && isInService(entry));
            }
          }
        });
  }

  private String healthPath(ServiceName service) {
    return table
        .state()
        .plan()
        .flatMap(plan -> plan.service(service))
        .map(ServiceConfig::healthPath)
        .orElse("/");
  }
}
