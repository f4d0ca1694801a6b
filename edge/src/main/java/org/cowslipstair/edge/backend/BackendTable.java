package org.cowslipstair.edge.backend;

import io.netty.handler.codec.http.HttpResponse;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.cowslipstair.edge.http.ServerConnection;
import org.cowslipstair.edge.http.ServerConnector;
import org.cowslipstair.logic.placement.BackendStats;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.traffic.BackendInstance;
import org.cowslipstair.model.traffic.ServerNotice;
import org.cowslipstair.model.traffic.ServiceConfig;
import org.cowslipstair.model.traffic.TrafficState;
import org.cowslipstair.port.MonotonicClock;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/** All known backend instances and the connections to them. Used on the event loop only. */
public final class BackendTable {
  private static final Logger LOG = Logger.getLogger(BackendTable.class);
  private static final long NS_PER_MS = 1_000_000L;

  /** Share of the connection limit of a backend server that all gateways together use. */
  private static final double USED_CONNECTIONS_SHARE = 0.7;

  private static final int MIN_CONNECTIONS = 2;

  /** Mean time between the first requests of two gateways to a server after a pause. */
  private static final long RESUME_INTERVAL_NS = 20 * NS_PER_MS;

  private final ServerConnector connector;
  private final NoticeReader noticeReader;
  private final RandomGenerator random;
  private final MonotonicClock clock;
  private Map<BackendName, BackendEntry> entries = new HashMap<>();
  private Map<ServiceName, List<BackendEntry>> eligible = new HashMap<>();
  private TrafficState state = TrafficState.empty();
  private int gatewayCount = 1;

  /** Creates a table. */
  public BackendTable(
      ServerConnector connector,
      NoticeReader noticeReader,
      RandomGenerator random,
      MonotonicClock clock) {
    this.connector = connector;
    this.noticeReader = noticeReader;
    this.random = random;
    this.clock = clock;
  }

  /** Applies a newer traffic state. Entries of the same backend process are kept. */
  public void update(TrafficState newer) {
    state = newer;
    Map<BackendName, BackendEntry> updated = new HashMap<>();
    for (BackendInstance instance : newer.backends()) {
      BackendEntry previous = entries.get(instance.name());
      if (previous != null && previous.stats().instance().isSameProcess(instance)) {
        previous.stats().updateInstance(instance);
        updated.put(instance.name(), previous);
      } else {
        updated.put(instance.name(), new BackendEntry(new BackendStats(instance, clock.nowNs())));
      }
    }
    for (BackendEntry entry : entries.values()) {
      if (updated.get(entry.stats().instance().name()) != entry) {
        entry.retire();
      }
    }
    entries = updated;
    eligible = new HashMap<>();
    for (ServiceConfig service : newer.plan().map(plan -> plan.services()).orElse(List.of())) {
      List<BackendEntry> serviceEntries = new ArrayList<>();
      newer
          .eligible(service.name())
          .forEach(instance -> serviceEntries.add(updated.get(instance.name())));
      eligible.put(service.name(), serviceEntries);
    }
  }

  /** Sets the number of gateways that share the connections of a backend server. */
  public void setGatewayCount(int count) {
    gatewayCount = Math.max(1, count);
  }

  /** Returns the state in force. */
  public TrafficState state() {
    return state;
  }

  /**
   * Returns the backend instances of a service that may receive requests; empty if there are none.
   */
  public List<BackendEntry> eligible(ServiceName service) {
    return eligible.getOrDefault(service, List.of());
  }

  /** Returns whether a request may be sent to a backend instance now. */
  public boolean acceptsRequests(BackendEntry entry) {
    BackendInstance instance = entry.stats().instance();
    return entries.get(instance.name()) == entry
        && !instance.leaving()
        && entry.stats().notices().allowRequest(entry.stats().inFlight(), clock.nowNs())
        && (entry.stats().isHealthy() || !state.isUnconfirmed(instance.name()))
        && !state.zonesOut().contains(instance.zone());
  }

  /** Returns the entry of a backend instance; empty if it is unknown. */
  public Optional<BackendEntry> find(BackendName name) {
    return Optional.ofNullable(entries.get(name));
  }

  /** Returns all entries. */
  public Collection<BackendEntry> entries() {
    return entries.values();
  }

  /**
   * Acquires an idle connection or opens one.
   *
   * @param onReady called with the connection; at once if there is an idle one
   * @param onFailed called if the connection limit is reached or a connection cannot be opened
   */
  public void acquire(
      BackendEntry entry, Consumer<ServerConnection> onReady, Consumer<Throwable> onFailed) {
    ServerConnection idle = entry.pollIdleConnection(clock.nowNs());
    if (idle != null) {
      onReady.accept(idle);
      return;
    }
    if (entry.openConnections() >= maxConnections(entry)) {
      onFailed.accept(new ConnectionLimitException(entry.stats().instance().name()));
      return;
    }
    entry.onConnectionOpening();
    OpenConnection openConnection = new OpenConnection(entry);
    connector.connect(
        entry.stats().instance().address(),
        openConnection::onClosed,
        connection -> {
          openConnection.connection = connection;
          connection.observeHeads(head -> onHead(entry, head));
          onReady.accept(connection);
        },
        cause -> {
          entry.onConnectionClosed();
          entry.stats().recordUnreachable(clock.nowNs());
          onFailed.accept(cause);
        });
  }

  private void onHead(BackendEntry entry, HttpResponse head) {
    String name = entry.stats().instance().name().value();
    long nowNs = clock.nowNs();
    for (ServerNotice notice : noticeReader.read(head, name, nowNs)) {
      long resumeDelayNs = (long) (random.nextDouble() * gatewayCount * RESUME_INTERVAL_NS);
      if (entry.stats().notices().record(notice, resumeDelayNs)) {
        LOG.infof("backend: %s %s", name, describe(notice, nowNs));
      }
    }
  }

  private static String describe(ServerNotice notice, long nowNs) {
    return switch (notice) {
      case ServerNotice.Leaving _ -> "says that it leaves; gets no new requests";
      case ServerNotice.Paused(long untilNs) ->
          "wants no requests for %d ms".formatted((untilNs - nowNs) / NS_PER_MS);
    };
  }

  /** Releases a connection that has no request in progress. */
  public void release(BackendEntry entry, ServerConnection connection) {
    entry.release(connection, clock.nowNs());
  }

  private int maxConnections(BackendEntry entry) {
    ServiceName service = entry.stats().instance().service();
    int limit =
        state
            .plan()
            .flatMap(plan -> plan.service(service))
            .map(ServiceConfig::maxConnections)
            .orElse(MIN_CONNECTIONS);
    return Math.max(MIN_CONNECTIONS, (int) (limit * USED_CONNECTIONS_SHARE / gatewayCount));
  }

  private static final class OpenConnection {
    private final BackendEntry entry;
    private @Nullable ServerConnection connection;

    OpenConnection(BackendEntry entry) {
      this.entry = entry;
    }

    void onClosed() {
      entry.onConnectionClosed();
      if (connection != null) {
        entry.removeIdleConnection(connection);
      }
    }
  }
}
