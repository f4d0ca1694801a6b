package org.cowslipstair.logic.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.fleet.InstanceEntry;
import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.model.fleet.MemberState;

/** Simulates gateways whose connections drop, delay, reorder and duplicate messages. */
final class SimulatedFleet {
  static final long STEP_NS = TimeUnit.MILLISECONDS.toNanos(10);
  private static final long MAX_CRASH_DETECTION_NS = TimeUnit.SECONDS.toNanos(8);
  private static final long IDLE_TIMEOUT_NS = TimeUnit.SECONDS.toNanos(6);
  private static final int PERCENT = 100;
  private static final int DEFAULT_LOSS_PERCENT = 5;
  private static final int DUPLICATION_PERCENT = 5;

  private final Random random;
  final Map<GatewayName, Node> nodes = new TreeMap<>();
  private final Map<String, Link> links = new HashMap<>();
  private final PriorityQueue<Delivery> deliveries =
      new PriorityQueue<>(
          Comparator.comparingLong(Delivery::atNs).thenComparingLong(Delivery::number));
  private final Map<GatewayId, Long> crashedAtNs = new HashMap<>();
  private long deliveryNumber;
  long nowNs = 1;
  boolean isStoreUp = true;
  int lossPercent = DEFAULT_LOSS_PERCENT;

  SimulatedFleet(long seed) {
    this.random = new Random(seed);
  }

  /** One process. */
  static final class Node {
    final Member self;
    final MembershipCore core;
    final List<MembershipEvent> events = new ArrayList<>();
    final Map<GatewayName, Long> highestIncarnations = new HashMap<>();
    final List<Consumer<Node>> pendingInputs = new ArrayList<>();
    final Set<GatewayName> connectTargets = new HashSet<>();
    long pausedUntilNs;
    int partition;

    Node(Member self, long nowNs) {
      this.self = self;
      this.core =
          new MembershipCore(
              MembershipSettings.defaults(), self, InvariantMonitor.failing(), nowNs);
    }
  }

  /** The connection between two processes. */
  private static final class Link {
    private boolean isOpen;
    private int epoch;
    private long partitionedSinceNs = Long.MAX_VALUE;
  }

  private record Delivery(long atNs, long number, GatewayId to, Consumer<Node> input) {}

  static Member member(int number, long incarnation) {
    return new Member(
        new GatewayId(new GatewayName("gw-" + number), incarnation),
        new ZoneName("zone-" + number % 3),
        new HostPort("10.0.0." + number, 7_000),
        MemberState.LIVE);
  }

  Node start(int number, long incarnation) {
    Node node = new Node(member(number, incarnation), nowNs);
    nodes.put(node.self.id().name(), node);
    return node;
  }

  Node node(int number) {
    return nodes.get(new GatewayName("gw-" + number));
  }

  /** Stops a process; if silent, its peers see the connection close only after the idle timeout. */
  void crash(Node node, boolean isSilent) {
    if (nodes.remove(node.self.id().name(), node)) {
      crashedAtNs.put(node.self.id(), nowNs);
      for (Node other : nodes.values()) {
        Link link = link(node, other);
        if (link.isOpen) {
          long closeAtNs =
              nowNs + (isSilent ? IDLE_TIMEOUT_NS : random.nextInt(200) * STEP_NS / 10);
          link.isOpen = false;
          link.epoch++;
          schedule(closeAtNs, other, n -> apply(n, n.core.onDisconnected(node.self.id(), nowNs)));
        }
      }
    }
  }

  /** Advances the simulated time. */
  void run(long durationMs) {
    long endNs = nowNs + TimeUnit.MILLISECONDS.toNanos(durationMs);
    while (nowNs < endNs) {
      nowNs += STEP_NS;
      step();
    }
  }

  private void step() {
    while (!deliveries.isEmpty() && deliveries.peek().atNs() <= nowNs) {
      Delivery delivery = deliveries.poll();
      Node node = nodes.get(delivery.to().name());
      if (node != null && node.self.id().equals(delivery.to())) {
        node.pendingInputs.add(delivery.input());
      }
    }
    for (Node node : List.copyOf(nodes.values())) {
      if (nowNs < node.pausedUntilNs) {
        continue;
      }
      List<Consumer<Node>> inputs = List.copyOf(node.pendingInputs);
      node.pendingInputs.clear();
      inputs.forEach(input -> input.accept(node));
      if (isStoreUp && node.core.needsStoreConfirmation()) {
        apply(node, node.core.onStoreConfirmation(nowNs));
      }
      apply(node, node.core.tick(nowNs));
      checkView(node);
    }
    updateLinks();
  }

  private void checkView(Node node) {
    for (Member member : node.core.view().members()) {
      GatewayId id = member.id();
      long highest = node.highestIncarnations.merge(id.name(), id.incarnation(), Math::max);
      if (id.incarnation() < highest) {
        throw new AssertionError(id + " reappeared in the view of " + node.self.id());
      }
      Long crashTimeNs = crashedAtNs.get(id);
      if (crashTimeNs != null
          && nowNs - crashTimeNs > MAX_CRASH_DETECTION_NS
          && node.pausedUntilNs == 0) {
        throw new AssertionError(
            id + " crashed but is still alive in the view of " + node.self.id());
      }
    }
  }

  private void updateLinks() {
    List<Node> all = List.copyOf(nodes.values());
    for (int i = 0; i < all.size(); i++) {
      for (int j = i + 1; j < all.size(); j++) {
        updateLink(all.get(i), all.get(j));
      }
    }
  }

  private void updateLink(Node a, Node b) {
    Link link = link(a, b);
    boolean isPartitioned = a.partition != b.partition;
    boolean isConnectTarget =
        a.connectTargets.contains(b.self.id().name())
            || b.connectTargets.contains(a.self.id().name());
    if (!link.isOpen && !isPartitioned && isConnectTarget && random.nextInt(PERCENT) < 10) {
      link.isOpen = true;
      link.epoch++;
      schedule(nowNs, a, n -> apply(n, n.core.onConnected(b.self.id(), nowNs)));
      schedule(nowNs, b, n -> apply(n, n.core.onConnected(a.self.id(), nowNs)));
    }
    link.partitionedSinceNs =
        isPartitioned ? Math.min(link.partitionedSinceNs, nowNs) : Long.MAX_VALUE;
    if (link.isOpen && isPartitioned && nowNs - link.partitionedSinceNs > IDLE_TIMEOUT_NS) {
      close(a, b);
    }
  }

  /** Closes a connection; both ends are notified. */
  void close(Node a, Node b) {
    Link link = link(a, b);
    if (link.isOpen) {
      link.isOpen = false;
      link.epoch++;
      schedule(nowNs, a, n -> apply(n, n.core.onDisconnected(b.self.id(), nowNs)));
      schedule(nowNs, b, n -> apply(n, n.core.onDisconnected(a.self.id(), nowNs)));
    }
  }

  private Link link(Node a, Node b) {
    GatewayId first = a.self.id().compareTo(b.self.id()) < 0 ? a.self.id() : b.self.id();
    GatewayId second = first.equals(a.self.id()) ? b.self.id() : a.self.id();
    return links.computeIfAbsent(first + " " + second, _ -> new Link());
  }

  private void schedule(long atNs, Node to, Consumer<Node> input) {
    deliveries.add(new Delivery(atNs, deliveryNumber++, to.self.id(), input));
  }

  void apply(Node node, List<MembershipAction> actions) {
    for (MembershipAction action : actions) {
      switch (action) {
        case MembershipAction.Send send -> send(node, send);
        case MembershipAction.Report report -> node.events.add(report.event());
        case MembershipAction.Connect connect -> {
          node.connectTargets.clear();
          connect.peers().forEach(entry -> node.connectTargets.add(entry.name()));
        }
        case MembershipAction.Publish _ -> {
          // Tests read the view from the core.
        }
      }
    }
  }

  private void send(Node from, MembershipAction.Send send) {
    Node to = nodes.get(send.to());
    if (to == null || from.partition != to.partition || !link(from, to).isOpen) {
      return;
    }
    Link link = link(from, to);
    int epoch = link.epoch;
    int copies = random.nextInt(PERCENT) < DUPLICATION_PERCENT ? 2 : 1;
    for (int i = 0; i < copies && random.nextInt(PERCENT) >= lossPercent; i++) {
      long delayNs = random.nextInt(5) * STEP_NS;
      schedule(
          nowNs + delayNs,
          to,
          n -> {
            if (link.epoch == epoch) {
              apply(n, n.core.onMessage(from.self.id(), send.message(), nowNs));
            }
          });
    }
  }

  /** Gives a process one other process as its seed. */
  void addSeed(Node node, Node other) {
    List<InstanceEntry> entries = List.of(Peer.toInstanceEntry(other.self));
    apply(node, node.core.onInstances(entries, nowNs));
  }

  /** Sends the platform's instance list to every process. */
  void publishInstanceList() {
    List<InstanceEntry> entries = new ArrayList<>();
    nodes.values().forEach(node -> entries.add(Peer.toInstanceEntry(node.self)));
    nodes.values().forEach(node -> apply(node, node.core.onInstances(entries, nowNs)));
  }
}
