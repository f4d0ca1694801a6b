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

/** Joins membership cores by connections that drop, delay, reorder and duplicate messages. */
final class FleetChannel {
  static final long STEP_NS = TimeUnit.MILLISECONDS.toNanos(10);
  private static final long FORGET_CRASHED_NS = TimeUnit.SECONDS.toNanos(8);
  private static final long IDLE_CLOSE_NS = TimeUnit.SECONDS.toNanos(6);
  private static final int PERCENT = 100;
  private static final int LOST_PERCENT = 5;
  private static final int REPEATED_PERCENT = 5;

  private final Random random;
  final Map<GatewayName, Node> nodes = new TreeMap<>();
  private final Map<String, Link> links = new HashMap<>();
  private final PriorityQueue<Delivery> deliveries =
      new PriorityQueue<>(
          Comparator.comparingLong(Delivery::atNs).thenComparingLong(Delivery::number));
  private final Map<GatewayId, Long> crashedAtNs = new HashMap<>();
  private long deliveryNumber;
  long nowNs = 1;
  boolean storeUp = true;
  int lossPercent = LOST_PERCENT;

  FleetChannel(long seed) {
    this.random = new Random(seed);
  }

  /** One process. */
  static final class Node {
    final Member self;
    final MembershipCore core;
    final List<MembershipEvent> events = new ArrayList<>();
    final Map<GatewayName, Long> highest = new HashMap<>();
    final List<Consumer<Node>> waiting = new ArrayList<>();
    final Set<GatewayName> dialled = new HashSet<>();
    long pausedUntilNs;
    int side;

    Node(Member self, long nowNs) {
      this.self = self;
      this.core =
          new MembershipCore(
              MembershipSettings.defaults(), self, InvariantMonitor.failing(), nowNs);
    }
  }

  /** The connection of a pair. */
  private static final class Link {
    private boolean open;
    private int epoch;
    private long cutSinceNs = Long.MAX_VALUE;
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

  /** Ends a process; its peers see a closed connection, or only silence. */
  void crash(Node node, boolean silent) {
    if (nodes.remove(node.self.id().name(), node)) {
      crashedAtNs.put(node.self.id(), nowNs);
      for (Node other : nodes.values()) {
        Link link = link(node, other);
        if (link.open) {
          long closeAtNs = nowNs + (silent ? IDLE_CLOSE_NS : random.nextInt(200) * STEP_NS / 10);
          link.open = false;
          link.epoch++;
          later(closeAtNs, other, n -> apply(n, n.core.onDisconnected(node.self.id(), nowNs)));
        }
      }
    }
  }

  /** Runs for a while. */
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
        node.waiting.add(delivery.input());
      }
    }
    for (Node node : List.copyOf(nodes.values())) {
      if (nowNs < node.pausedUntilNs) {
        continue;
      }
      List<Consumer<Node>> inputs = List.copyOf(node.waiting);
      node.waiting.clear();
      inputs.forEach(input -> input.accept(node));
      if (storeUp && node.core.wantsStoreContact()) {
        apply(node, node.core.onStoreContact(nowNs));
      }
      apply(node, node.core.tick(nowNs));
      checkView(node);
    }
    moveLinks();
  }

  private void checkView(Node node) {
    for (Member member : node.core.view().members()) {
      GatewayId id = member.id();
      long highest = node.highest.merge(id.name(), id.incarnation(), Math::max);
      if (id.incarnation() < highest) {
        throw new AssertionError(id + " came back at " + node.self.id());
      }
      Long crashed = crashedAtNs.get(id);
      if (crashed != null && nowNs - crashed > FORGET_CRASHED_NS && node.pausedUntilNs == 0) {
        throw new AssertionError(id + " crashed, but is alive for " + node.self.id());
      }
    }
  }

  private void moveLinks() {
    List<Node> all = List.copyOf(nodes.values());
    for (int i = 0; i < all.size(); i++) {
      for (int j = i + 1; j < all.size(); j++) {
        moveLink(all.get(i), all.get(j));
      }
    }
  }

  private void moveLink(Node a, Node b) {
    Link link = link(a, b);
    boolean cut = a.side != b.side;
    boolean isDialled =
        a.dialled.contains(b.self.id().name()) || b.dialled.contains(a.self.id().name());
    if (!link.open && !cut && isDialled && random.nextInt(PERCENT) < 10) {
      link.open = true;
      link.epoch++;
      later(nowNs, a, n -> apply(n, n.core.onConnected(b.self.id(), nowNs)));
      later(nowNs, b, n -> apply(n, n.core.onConnected(a.self.id(), nowNs)));
    }
    link.cutSinceNs = cut ? Math.min(link.cutSinceNs, nowNs) : Long.MAX_VALUE;
    if (link.open && cut && nowNs - link.cutSinceNs > IDLE_CLOSE_NS) {
      close(a, b);
    }
  }

  /** Closes a connection that both ends see. */
  void close(Node a, Node b) {
    Link link = link(a, b);
    if (link.open) {
      link.open = false;
      link.epoch++;
      later(nowNs, a, n -> apply(n, n.core.onDisconnected(b.self.id(), nowNs)));
      later(nowNs, b, n -> apply(n, n.core.onDisconnected(a.self.id(), nowNs)));
    }
  }

  private Link link(Node a, Node b) {
    GatewayId first = a.self.id().compareTo(b.self.id()) < 0 ? a.self.id() : b.self.id();
    GatewayId second = first.equals(a.self.id()) ? b.self.id() : a.self.id();
    return links.computeIfAbsent(first + " " + second, _ -> new Link());
  }

  private void later(long atNs, Node to, Consumer<Node> input) {
    deliveries.add(new Delivery(atNs, deliveryNumber++, to.self.id(), input));
  }

  void apply(Node node, List<MembershipAction> actions) {
    for (MembershipAction action : actions) {
      switch (action) {
        case MembershipAction.Send send -> send(node, send);
        case MembershipAction.Report report -> node.events.add(report.event());
        case MembershipAction.Connect connect -> {
          node.dialled.clear();
          connect.peers().forEach(entry -> node.dialled.add(entry.name()));
        }
        case MembershipAction.Publish _ -> {
          // Views are read from the core.
        }
      }
    }
  }

  private void send(Node from, MembershipAction.Send send) {
    Node to = nodes.get(send.to());
    if (to == null || from.side != to.side || !link(from, to).open) {
      return;
    }
    Link link = link(from, to);
    int epoch = link.epoch;
    int copies = random.nextInt(PERCENT) < REPEATED_PERCENT ? 2 : 1;
    for (int i = 0; i < copies && random.nextInt(PERCENT) >= lossPercent; i++) {
      long delayNs = random.nextInt(5) * STEP_NS;
      later(
          nowNs + delayNs,
          to,
          n -> {
            if (link.epoch == epoch) {
              apply(n, n.core.onMessage(from.self.id(), send.message(), nowNs));
            }
          });
    }
  }

  /** Gives a process one other to begin with. */
  void seed(Node node, Node other) {
    List<InstanceEntry> entries = List.of(Peer.entryOf(other.self));
    apply(node, node.core.onInstances(entries, nowNs));
  }

  /** Gives every process the platform's list. */
  void list() {
    List<InstanceEntry> entries = new ArrayList<>();
    nodes.values().forEach(node -> entries.add(Peer.entryOf(node.self)));
    nodes.values().forEach(node -> apply(node, node.core.onInstances(entries, nowNs)));
  }
}
