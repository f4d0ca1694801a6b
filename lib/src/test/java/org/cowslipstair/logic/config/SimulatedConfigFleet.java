package org.cowslipstair.logic.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.model.config.ConfigSnapshot;
import org.cowslipstair.model.config.ConfigVersion;
import org.cowslipstair.model.config.StoreRevision;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.peer.ConfigMessage;

/** Simulates gateways and a store whose calls and messages are delayed, lost or duplicated. */
final class SimulatedConfigFleet {
  private static final int STEP_MS = 20;
  private static final int HEARTBEAT_INTERVAL_MS = 340;
  private static final int WATCH_TIMEOUT_MS = 20_000;
  private static final int PERCENT = 100;

  private final Random random;
  final Map<GatewayName, Node> nodes = new TreeMap<>();
  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::atMs).thenComparingLong(Task::number));
  private long taskNumber;
  long nowMs;
  InMemoryStore store = new InMemoryStore("store-a");
  Optional<InMemoryStore> copy = Optional.empty();
  boolean isStoreUp = true;
  int storeDelayMs = 5;
  int lossPercent;

  SimulatedConfigFleet(long seed) {
    this.random = new Random(seed);
  }

  private record Task(long atMs, long number, Runnable run) {}

  /** One gateway. */
  static final class Node {
    final GatewayName name;
    final ConfigCore core =
        new ConfigCore(ConfigSettings.defaults(), InMemoryStore.READER, InvariantMonitor.failing());
    final List<ConfigEvent> events = new ArrayList<>();
    ConfigSnapshot snapshot = ConfigSnapshot.empty();
    boolean isStopped;
    boolean isWatchStuck;
    boolean isCutOff;
    boolean shouldListNext = true;
    boolean isCallInProgress;
    long nextCallMs;
    long nextHeartbeatMs;

    Node(GatewayName name) {
      this.name = name;
    }

    String stateOf(int zone) {
      return snapshot
          .zone(new ZoneName("zone-" + zone))
          .flatMap(z -> z.labels().get("state"))
          .orElse("absent");
    }
  }

  Node start(int number) {
    Node node = new Node(new GatewayName("gw-" + number));
    Optional.ofNullable(nodes.put(node.name, node)).ifPresent(old -> old.isStopped = true);
    return node;
  }

  Node node(int number) {
    return nodes.get(new GatewayName("gw-" + number));
  }

  private long nowNs() {
    return TimeUnit.MILLISECONDS.toNanos(nowMs);
  }

  private void schedule(long delayMs, Runnable run) {
    tasks.add(new Task(nowMs + delayMs, taskNumber++, run));
  }

  void run(long durationMs) {
    long endMs = nowMs + durationMs;
    while (nowMs < endMs) {
      nowMs += STEP_MS;
      while (!tasks.isEmpty() && tasks.peek().atMs() <= nowMs) {
        tasks.poll().run().run();
      }
      nodes.values().forEach(this::step);
    }
  }

  private void step(Node node) {
    apply(node, node.core.tick(nowNs()));
    if (nowMs >= node.nextHeartbeatMs) {
      sendHeartbeats(node);
    }
    if (!node.isCallInProgress && nowMs >= node.nextCallMs) {
      node.isCallInProgress = true;
      callStore(node);
    }
  }

  private void sendHeartbeats(Node node) {
    node.nextHeartbeatMs = nowMs + HEARTBEAT_INTERVAL_MS;
    ConfigVersion version = node.core.inForce();
    for (Node other : nodes.values()) {
      if (other != node) {
        transmit(
            node, other, () -> apply(other, other.core.onPeerVersion(node.name, version, nowNs())));
      }
    }
  }

  private void transmit(Node from, Node to, Runnable delivery) {
    int copies = random.nextInt(PERCENT) < lossPercent ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      boolean isLost = random.nextInt(PERCENT) < lossPercent;
      if (!isLost && !from.isCutOff && !to.isCutOff) {
        schedule(random.nextInt(60), () -> runUnlessStopped(to, delivery));
      }
    }
  }

  private static void runUnlessStopped(Node node, Runnable run) {
    if (!node.isStopped) {
      run.run();
    }
  }

  private void callStore(Node node) {
    ConfigVersion versionAtRequest = node.core.inForce();
    boolean isList = node.shouldListNext;
    long callStartMs = nowMs;
    schedule(0, () -> awaitStoreChange(node, versionAtRequest, isList, callStartMs));
  }

  private void awaitStoreChange(
      Node node, ConfigVersion versionAtRequest, boolean isList, long callStartMs) {
    if (node.isStopped) {
      return;
    }
    long known = versionAtRequest.revision();
    boolean isOtherEpoch = StoreRevision.epoch(store.revision) != StoreRevision.epoch(known);
    boolean isRevisionGone = !isList && (store.revision < known || isOtherEpoch);
    if (!isStoreUp) {
      endCall(node, 250 + random.nextInt(2_000));
    } else if (isRevisionGone) {
      node.shouldListNext = true;
      endCall(node, 0);
    } else if (isList
        || store.revision > versionAtRequest.revision()
        || nowMs - callStartMs > WATCH_TIMEOUT_MS) {
      ConfigBatch batch = isList ? store.list() : store.after(versionAtRequest.revision());
      schedule(
          storeDelayMs, () -> runUnlessStopped(node, () -> deliver(node, batch, versionAtRequest)));
    } else {
      schedule(STEP_MS, () -> awaitStoreChange(node, versionAtRequest, false, callStartMs));
    }
  }

  private void endCall(Node node, long delayMs) {
    node.isCallInProgress = false;
    node.nextCallMs = nowMs + delayMs;
  }

  private void deliver(Node node, ConfigBatch batch, ConfigVersion versionAtRequest) {
    if (!isStoreUp) {
      endCall(node, 250 + random.nextInt(2_000));
      return;
    }
    if (node.isWatchStuck) {
      return;
    }
    List<ConfigAction> actions = node.core.onStoreBatch(batch, versionAtRequest, nowNs());
    node.shouldListNext = actions.contains(new ConfigAction.Relist());
    endCall(node, node.shouldListNext ? 500 : 0);
    apply(node, actions);
  }

  /** Ends a hanging watch. */
  void resumeWatch(Node node) {
    if (node.isWatchStuck) {
      node.isWatchStuck = false;
      endCall(node, 0);
    }
  }

  void apply(Node node, List<ConfigAction> actions) {
    for (ConfigAction action : actions) {
      switch (action) {
        case ConfigAction.Send send -> send(node, send.to(), send.message());
        case ConfigAction.Broadcast broadcast ->
            nodes.keySet().forEach(to -> send(node, to, broadcast.message()));
        case ConfigAction.Publish publish -> {
          node.snapshot = publish.snapshot();
          sendHeartbeats(node);
        }
        case ConfigAction.Relist _ -> node.shouldListNext = true;
        case ConfigAction.Report report -> node.events.add(report.event());
      }
    }
  }

  private void send(Node from, GatewayName name, ConfigMessage message) {
    Node to = nodes.get(name);
    if (to != null && to != from) {
      transmit(from, to, () -> apply(to, to.core.onMessage(from.name, message, nowNs())));
    }
  }
}
