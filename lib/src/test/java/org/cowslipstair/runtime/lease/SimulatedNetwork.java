package org.cowslipstair.runtime.lease;

import static org.cowslipstair.runtime.lease.EventQueue.NS_PER_MS;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.cowslipstair.logic.membership.FleetView;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.model.fleet.MemberState;
import org.cowslipstair.model.peer.LeaseMessage;
import org.cowslipstair.model.peer.LeaseMessage.HandOver;
import org.cowslipstair.model.peer.LeaseMessage.HeldLeases;

/**
 * Connections between gateways and their views of the fleet in a randomised run. A connection
 * delivers messages in order; some are dropped or delivered twice. Messages that open a session are
 * lost only together with their connection.
 */
final class SimulatedNetwork {
  private static final HostPort ADDRESS = new HostPort("127.0.0.1", 1);
  final Map<GatewayName, SimulatedGateway> gateways = new TreeMap<>();
  private final EventQueue events;
  private final Random random;
  private final FaultPlan plan;
  private final FakeBackends backends;
  private final Map<GatewayName, Integer> partitionSides = new HashMap<>();
  private final Map<Set<GatewayId>, Integer> connectionEpochs = new HashMap<>();
  private final Set<Set<GatewayId>> openLinks = new HashSet<>();
  private final Map<List<GatewayId>, Long> lastArrivalNs = new HashMap<>();
  private long partitionedAtNs;
  private long viewNumber;

  SimulatedNetwork(EventQueue events, Random random, FaultPlan plan, FakeBackends backends) {
    this.events = events;
    this.random = random;
    this.plan = plan;
    this.backends = backends;
  }

  void join(SimulatedGateway gateway) {
    gateways.put(gateway.id.name(), gateway);
    connectAll();
    refreshView(gateway);
  }

  /** Removes a gateway whose process has ended. */
  void leave(SimulatedGateway gateway) {
    gateway.isAlive = false;
    gateways.remove(gateway.id.name(), gateway);
    for (SimulatedGateway other : List.copyOf(gateways.values())) {
      disconnect(gateway, other);
    }
  }

  /** Partitions the fleet into a minority and the rest; an empty set heals the partition. */
  void partition(Set<GatewayName> minorityNames) {
    partitionSides.clear();
    minorityNames.forEach(name -> partitionSides.put(name, 1));
    partitionedAtNs = events.nowNs();
    for (SimulatedGateway a : gateways.values()) {
      for (SimulatedGateway b : gateways.values()) {
        if (!isSameSide(a, b) && openLinks.contains(link(a, b))) {
          markDisconnected(a, b);
          disconnect(a, b);
        }
      }
      events.schedule(3_100 * NS_PER_MS, () -> refreshView(a));
    }
    connectAll();
  }

  private void markDisconnected(SimulatedGateway a, SimulatedGateway b) {
    backends.markDisconnected(a.id, b.id);
    backends.markDisconnected(b.id, a.id);
  }

  /** Closes one connection for a short time. */
  void loseConnection(SimulatedGateway a, SimulatedGateway b) {
    disconnect(a, b);
    events.schedule(random.nextInt(50) * NS_PER_MS, this::connectAll);
  }

  /** Suspends a process; after one second its peers consider it dead. */
  void pause(SimulatedGateway gateway, long durationNs) {
    gateway.pause(durationNs);
    for (SimulatedGateway other : gateways.values()) {
      if (other != gateway) {
        markDisconnected(gateway, other);
      }
    }
    backends.markDisconnected(gateway.id, gateway.id);
    events.schedule(1_000 * NS_PER_MS, this::refreshAll);
    events.schedule(durationNs, this::refreshAll);
  }

  /** Schedules an up-to-date view for every gateway, with a short random delay. */
  void refreshAll() {
    for (SimulatedGateway gateway : gateways.values()) {
      events.schedule(random.nextInt(20) * NS_PER_MS, () -> refreshView(gateway));
    }
  }

  private static Set<GatewayId> link(SimulatedGateway a, SimulatedGateway b) {
    return new HashSet<>(List.of(a.id, b.id));
  }

  private boolean isSameSide(SimulatedGateway a, SimulatedGateway b) {
    return partitionSides
        .getOrDefault(a.id.name(), 0)
        .equals(partitionSides.getOrDefault(b.id.name(), 0));
  }

  private void connectAll() {
    for (SimulatedGateway a : gateways.values()) {
      for (SimulatedGateway b : gateways.values()) {
        boolean isFirstOfPair = a.id.compareTo(b.id) < 0;
        if (isFirstOfPair && isSameSide(a, b) && openLinks.add(link(a, b))) {
          onConnected(a, b);
          onConnected(b, a);
        }
      }
    }
  }

  private void onConnected(SimulatedGateway gateway, SimulatedGateway peer) {
    Set<GatewayId> link = link(gateway, peer);
    gateway.whenRunning(
        () -> {
          if (openLinks.contains(link)) {
            gateway.runtime.onPeerConnected(peer.id);
          }
        });
    events.schedule(random.nextInt(20) * NS_PER_MS, () -> refreshView(gateway));
  }

  private void disconnect(SimulatedGateway a, SimulatedGateway b) {
    if (!openLinks.remove(link(a, b))) {
      return;
    }
    connectionEpochs.merge(link(a, b), 1, Integer::sum);
    for (List<SimulatedGateway> ends : List.of(List.of(a, b), List.of(b, a))) {
      SimulatedGateway gateway = ends.getFirst();
      gateway.whenRunning(() -> gateway.runtime.onPeerDisconnected(ends.getLast().id));
      events.schedule((100 + random.nextInt(500)) * NS_PER_MS, () -> refreshView(gateway));
    }
  }

  void send(SimulatedGateway from, GatewayName name, LeaseMessage message) {
    SimulatedGateway to = gateways.get(name);
    if (to == null || !from.isAlive || !openLinks.contains(link(from, to))) {
      return;
    }
    boolean isSessionOpening = message instanceof HeldLeases || message instanceof HandOver;
    if (!isSessionOpening && random.nextDouble() < plan.dropRate()) {
      return;
    }
    List<GatewayId> direction = List.of(from.id, to.id);
    long delayNs = 200_000 + random.nextInt(1_800_000);
    long arrivalNs = Math.max(events.nowNs() + delayNs, lastArrivalNs.getOrDefault(direction, 0L));
    lastArrivalNs.put(direction, arrivalNs);
    events.trace(from.id + " -> " + to.id, message);
    deliver(from, to, message, arrivalNs - events.nowNs());
    if (random.nextDouble() < plan.duplicateRate()) {
      deliver(from, to, message, delayNs + random.nextInt(300) * NS_PER_MS);
    }
  }

  private void deliver(
      SimulatedGateway from, SimulatedGateway to, LeaseMessage message, long delayNs) {
    Set<GatewayId> link = link(from, to);
    int epochAtSend = connectionEpochs.getOrDefault(link, 0);
    Consumer<LeaseMessage> receiver =
        received -> {
          if (connectionEpochs.getOrDefault(link, 0) == epochAtSend) {
            to.runtime.onMessage(from.id, received);
          }
        };
    events.schedule(delayNs, () -> to.whenRunning(() -> receiver.accept(message)));
  }

  private void refreshView(SimulatedGateway gateway) {
    gateway.whenRunning(
        () -> {
          List<Member> members = new ArrayList<>();
          for (SimulatedGateway other : gateways.values()) {
            boolean isConnected =
                openLinks.contains(link(gateway, other)) && !other.isPausedFor(1_000 * NS_PER_MS);
            if (other == gateway || isConnected) {
              MemberState state = other.isLeaving ? MemberState.LEAVING : MemberState.LIVE;
              members.add(new Member(other.id, other.zone, ADDRESS, state));
            }
          }
          viewNumber++;
          boolean isMinority = members.size() * 2 <= gateways.size();
          boolean isIsolated = isMinority && events.nowNs() - partitionedAtNs >= 3_000 * NS_PER_MS;
          gateway.runtime.onView(new FleetView(viewNumber, gateway.id, members, isIsolated));
        });
  }
}
