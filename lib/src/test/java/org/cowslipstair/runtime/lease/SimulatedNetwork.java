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
import org.cowslipstair.model.peer.LeaseMessage.Held;

/**
 * Connections and views of the fleet in a randomised run. A connection carries messages in order;
 * some are dropped or come twice, except that what opens a session is lost only with its
 * connection.
 */
final class SimulatedNetwork {
  private static final HostPort ADDRESS = new HostPort("127.0.0.1", 1);
  final Map<GatewayName, SimulatedGateway> gateways = new TreeMap<>();
  private final EventQueue events;
  private final Random random;
  private final FaultPlan plan;
  private final FakeBackends backends;
  private final Map<GatewayName, Integer> sides = new HashMap<>();
  private final Map<Set<GatewayId>, Integer> epochs = new HashMap<>();
  private final Set<Set<GatewayId>> up = new HashSet<>();
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

  /** Ends a process life. */
  void leave(SimulatedGateway gateway) {
    gateway.alive = false;
    gateways.remove(gateway.id.name(), gateway);
    for (SimulatedGateway other : List.copyOf(gateways.values())) {
      down(gateway, other);
    }
  }

  /** Splits the fleet, or joins it with an empty set. */
  void partition(Set<GatewayName> minority) {
    sides.clear();
    minority.forEach(name -> sides.put(name, 1));
    partitionedAtNs = events.nowNs();
    for (SimulatedGateway a : gateways.values()) {
      for (SimulatedGateway b : gateways.values()) {
        if (!sameSide(a, b) && up.contains(link(a, b))) {
          cutOff(a, b);
          down(a, b);
        }
      }
      events.in(3_100 * NS_PER_MS, () -> refreshView(a));
    }
    connectAll();
  }

  private void cutOff(SimulatedGateway a, SimulatedGateway b) {
    backends.cutOff(a.id, b.id);
    backends.cutOff(b.id, a.id);
  }

  /** Loses one connection for a short time. */
  void loseConnection(SimulatedGateway a, SimulatedGateway b) {
    down(a, b);
    events.in(random.nextInt(50) * NS_PER_MS, this::connectAll);
  }

  /** Holds a process; after a second its peers take it for dead. */
  void pause(SimulatedGateway gateway, long lengthNs) {
    gateway.pause(lengthNs);
    for (SimulatedGateway other : gateways.values()) {
      if (other != gateway) {
        cutOff(gateway, other);
      }
    }
    backends.cutOff(gateway.id, gateway.id);
    events.in(1_000 * NS_PER_MS, this::refreshAll);
    events.in(lengthNs, this::refreshAll);
  }

  /** Tells every gateway, soon, who is there. */
  void refreshAll() {
    for (SimulatedGateway gateway : gateways.values()) {
      events.in(random.nextInt(20) * NS_PER_MS, () -> refreshView(gateway));
    }
  }

  private static Set<GatewayId> link(SimulatedGateway a, SimulatedGateway b) {
    return new HashSet<>(List.of(a.id, b.id));
  }

  private boolean sameSide(SimulatedGateway a, SimulatedGateway b) {
    return sides.getOrDefault(a.id.name(), 0).equals(sides.getOrDefault(b.id.name(), 0));
  }

  private void connectAll() {
    for (SimulatedGateway a : gateways.values()) {
      for (SimulatedGateway b : gateways.values()) {
        boolean first = a.id.compareTo(b.id) < 0;
        if (first && sameSide(a, b) && up.add(link(a, b))) {
          connected(a, b);
          connected(b, a);
        }
      }
    }
  }

  private void connected(SimulatedGateway at, SimulatedGateway peer) {
    Set<GatewayId> link = link(at, peer);
    at.whenRunning(
        () -> {
          if (up.contains(link)) {
            at.runtime.onPeerConnected(peer.id);
          }
        });
    events.in(random.nextInt(20) * NS_PER_MS, () -> refreshView(at));
  }

  private void down(SimulatedGateway a, SimulatedGateway b) {
    if (!up.remove(link(a, b))) {
      return;
    }
    epochs.merge(link(a, b), 1, Integer::sum);
    for (List<SimulatedGateway> pair : List.of(List.of(a, b), List.of(b, a))) {
      SimulatedGateway at = pair.getFirst();
      at.whenRunning(() -> at.runtime.onPeerDisconnected(pair.getLast().id));
      events.in((100 + random.nextInt(500)) * NS_PER_MS, () -> refreshView(at));
    }
  }

  void send(SimulatedGateway from, GatewayName name, LeaseMessage message) {
    SimulatedGateway to = gateways.get(name);
    if (to == null || !from.alive || !up.contains(link(from, to))) {
      return;
    }
    boolean opensSession = message instanceof Held || message instanceof HandOver;
    if (!opensSession && random.nextDouble() < plan.dropRate()) {
      return;
    }
    List<GatewayId> direction = List.of(from.id, to.id);
    long delayNs = 200_000 + random.nextInt(1_800_000);
    long arrivalNs = Math.max(events.nowNs() + delayNs, lastArrivalNs.getOrDefault(direction, 0L));
    lastArrivalNs.put(direction, arrivalNs);
    events.trace(from.id + " -> " + to.id, message);
    deliver(from, to, message, arrivalNs - events.nowNs());
    if (random.nextDouble() < plan.repeatRate()) {
      deliver(from, to, message, delayNs + random.nextInt(300) * NS_PER_MS);
    }
  }

  private void deliver(
      SimulatedGateway from, SimulatedGateway to, LeaseMessage message, long delayNs) {
    Set<GatewayId> link = link(from, to);
    int epoch = epochs.getOrDefault(link, 0);
    Consumer<LeaseMessage> receiver =
        received -> {
          if (epochs.getOrDefault(link, 0) == epoch) {
            to.runtime.onMessage(from.id, received);
          }
        };
    events.in(delayNs, () -> to.whenRunning(() -> receiver.accept(message)));
  }

  private void refreshView(SimulatedGateway at) {
    at.whenRunning(
        () -> {
          List<Member> members = new ArrayList<>();
          for (SimulatedGateway other : gateways.values()) {
            boolean connected =
                up.contains(link(at, other)) && !other.isPausedFor(1_000 * NS_PER_MS);
            if (other == at || connected) {
              MemberState state = other.leaving ? MemberState.LEAVING : MemberState.LIVE;
              members.add(new Member(other.id, other.zone, ADDRESS, state));
            }
          }
          viewNumber++;
          boolean minority = members.size() * 2 <= gateways.size();
          boolean isolated = minority && events.nowNs() - partitionedAtNs >= 3_000 * NS_PER_MS;
          at.runtime.onView(new FleetView(viewNumber, at.id, members, isolated));
        });
  }
}
