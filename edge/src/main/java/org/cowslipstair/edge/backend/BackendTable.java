package org.cowslipstair.edge.backend;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.cowslipstair.edge.http.ServerConnection;
import org.cowslipstair.edge.http.ServerConnector;
import org.cowslipstair.logic.placement.BackendRecord;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.traffic.BackendInstance;
import org.cowslipstair.model.traffic.ServiceTraits;
import org.cowslipstair.model.traffic.TrafficState;
import org.cowslipstair.port.MonotonicClock;
import org.jspecify.annotations.Nullable;

/**
 * All backend instances that this gateway knows, and their connections. Lives on the event loop.
 */
public final class BackendTable {
  /** Part of a backend server's connections that all gateways together use. */
  private static final double USED_CONNECTIONS_PART = 0.7;

  private static final int MIN_CONNECTIONS = 2;

  private final ServerConnector connector;
  private final MonotonicClock clock;
  private Map<BackendName, BackendEntry> entries = new HashMap<>();
  private Map<ServiceName, List<BackendEntry>> eligible = new HashMap<>();
  private TrafficState state = TrafficState.empty();
  private int gateways = 1;

  /** Creates a table. */
  public BackendTable(ServerConnector connector, MonotonicClock clock) {
    this.connector = connector;
    this.clock = clock;
  }

  /** Takes a newer state. */
  public void update(TrafficState newer) {
    state = newer;
    Map<BackendName, BackendEntry> kept = new HashMap<>();
    for (BackendInstance instance : newer.backends()) {
      BackendEntry before = entries.get(instance.name());
      if (before != null && before.record().instance().isSameLife(instance)) {
        before.record().update(instance);
        kept.put(instance.name(), before);
      } else {
        kept.put(instance.name(), new BackendEntry(new BackendRecord(instance, clock.nowNs())));
      }
    }
    for (BackendEntry entry : entries.values()) {
      if (kept.get(entry.record().instance().name()) != entry) {
        entry.retire();
      }
    }
    entries = kept;
    eligible = new HashMap<>();
    for (ServiceTraits service : newer.plan().map(plan -> plan.services()).orElse(List.of())) {
      List<BackendEntry> list = new ArrayList<>();
      newer.eligible(service.name()).forEach(instance -> list.add(kept.get(instance.name())));
      eligible.put(service.name(), list);
    }
  }

  /** Sets the number of gateways that share the connections of a backend server. */
  public void gateways(int count) {
    gateways = Math.max(1, count);
  }

  /** Returns the state in force. */
  public TrafficState state() {
    return state;
  }

  /** Returns the backend instances of a service that may get requests. */
  public List<BackendEntry> eligible(ServiceName service) {
    return eligible.getOrDefault(service, List.of());
  }

  /** Returns whether a request may be sent to a backend instance now. */
  public boolean takesRequests(BackendEntry entry) {
    BackendInstance instance = entry.record().instance();
    return entries.get(instance.name()) == entry
        && !instance.leaving()
        && (entry.record().isHealthy() || !state.isDoubtful(instance.name()))
        && !state.zonesOut().contains(instance.zone());
  }

  /** Returns all entries. */
  public Collection<BackendEntry> entries() {
    return entries.values();
  }

  /**
   * Gets an idle connection or opens one.
   *
   * @param ready called with the connection, at once if there is an idle one
   * @param failed called if there is none to be had
   */
  public void acquire(
      BackendEntry entry, Consumer<ServerConnection> ready, Consumer<Throwable> failed) {
    ServerConnection idle = entry.takeIdle(clock.nowNs());
    if (idle != null) {
      ready.accept(idle);
      return;
    }
    if (entry.open() >= maxConnections(entry)) {
      failed.accept(new ConnectionLimitException(entry.record().instance().name()));
      return;
    }
    entry.opening();
    ConnectionSlot slot = new ConnectionSlot(entry);
    connector.connect(
        entry.record().instance().address(),
        slot::closed,
        connection -> {
          slot.connection = connection;
          ready.accept(connection);
        },
        cause -> {
          entry.closed();
          entry.record().unreachable(clock.nowNs());
          failed.accept(cause);
        });
  }

  /** Gives a connection back that has no request in progress. */
  public void giveBack(BackendEntry entry, ServerConnection connection) {
    entry.giveBack(connection, clock.nowNs());
  }

  private int maxConnections(BackendEntry entry) {
    ServiceName service = entry.record().instance().service();
    int limit =
        state
            .plan()
            .flatMap(plan -> plan.service(service))
            .map(ServiceTraits::maxConnections)
            .orElse(MIN_CONNECTIONS);
    return Math.max(MIN_CONNECTIONS, (int) (limit * USED_CONNECTIONS_PART / gateways));
  }

  private static final class ConnectionSlot {
    private final BackendEntry entry;
    private @Nullable ServerConnection connection;

    ConnectionSlot(BackendEntry entry) {
      this.entry = entry;
    }

    void closed() {
      entry.closed();
      if (connection != null) {
        entry.remove(connection);
      }
    }
  }
}
