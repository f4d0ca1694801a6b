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
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.peer.ConfigMessage;

/** Joins configuration cores and a store by calls and messages that are slow, lost or repeated. */
final class ConfigFleet {
  private static final int STEP_MS = 20;
  private static final int HEARTBEAT_MS = 340;
  private static final int WATCH_MS = 20_000;
  private static final int PERCENT = 100;

  private final Random random;
  final Map<GatewayName, Node> nodes = new TreeMap<>();
  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::atMs).thenComparingLong(Task::number));
  private long taskNumber;
  long nowMs;
  FakeStoreState store = new FakeStoreState("store-a");
  boolean storeUp = true;
  int storeDelayMs = 5;
  int lossPercent;

  ConfigFleet(long seed) {
    this.random = new Random(seed);
  }

  private record Task(long atMs, long number, Runnable run) {}

  /** One gateway. */
  static final class Node {
    final GatewayName name;
    final ConfigCore core =
        new ConfigCore(
            ConfigSettings.defaults(), FakeStoreState.READER, InvariantMonitor.failing());
    final List<ConfigEvent> events = new ArrayList<>();
    ConfigSnapshot snapshot = ConfigSnapshot.empty();
    boolean isGone;
    boolean isWatchStuck;
    boolean isCutOff;
    boolean listNext = true;
    boolean isCalling;
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
    Optional.ofNullable(nodes.put(node.name, node)).ifPresent(old -> old.isGone = true);
    return node;
  }

  Node node(int number) {
    return nodes.get(new GatewayName("gw-" + number));
  }

  private long nowNs() {
    return TimeUnit.MILLISECONDS.toNanos(nowMs);
  }

  private void later(long delayMs, Runnable run) {
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
      heartbeat(node);
    }
    if (!node.isCalling && nowMs >= node.nextCallMs) {
      node.isCalling = true;
      call(node);
    }
  }

  private void heartbeat(Node node) {
    node.nextHeartbeatMs = nowMs + HEARTBEAT_MS;
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
        later(random.nextInt(60), () -> ifRunning(to, delivery));
      }
    }
  }

  private static void ifRunning(Node node, Runnable run) {
    if (!node.isGone) {
      run.run();
    }
  }

  private void call(Node node) {
    ConfigVersion askedAt = node.core.inForce();
    boolean isList = node.listNext;
    long startedMs = nowMs;
    later(0, () -> waitForAnswer(node, askedAt, isList, startedMs));
  }

  private void waitForAnswer(Node node, ConfigVersion askedAt, boolean isList, long startedMs) {
    if (node.isGone) {
      return;
    }
    boolean isGone = !isList && store.revision < askedAt.revision();
    if (!storeUp) {
      fail(node, 250 + random.nextInt(2_000));
    } else if (isGone) {
      node.listNext = true;
      fail(node, 0);
    } else if (isList || store.revision > askedAt.revision() || nowMs - startedMs > WATCH_MS) {
      ConfigBatch batch = isList ? store.list() : store.after(askedAt.revision());
      later(storeDelayMs, () -> ifRunning(node, () -> answer(node, batch, askedAt)));
    } else {
      later(STEP_MS, () -> waitForAnswer(node, askedAt, false, startedMs));
    }
  }

  private void fail(Node node, long delayMs) {
    node.isCalling = false;
    node.nextCallMs = nowMs + delayMs;
  }

  private void answer(Node node, ConfigBatch batch, ConfigVersion askedAt) {
    if (!storeUp) {
      fail(node, 250 + random.nextInt(2_000));
      return;
    }
    if (node.isWatchStuck) {
      return;
    }
    List<ConfigAction> actions = node.core.onStoreBatch(batch, askedAt, nowNs());
    node.listNext = actions.contains(new ConfigAction.ListAgain());
    fail(node, node.listNext ? 500 : 0);
    apply(node, actions);
  }

  /** Ends a stuck call. */
  void unstick(Node node) {
    if (node.isWatchStuck) {
      node.isWatchStuck = false;
      fail(node, 0);
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
          heartbeat(node);
        }
        case ConfigAction.ListAgain _ -> node.listNext = true;
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
