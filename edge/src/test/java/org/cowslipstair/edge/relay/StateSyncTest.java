package org.cowslipstair.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.cowslipstair.edge.FrontSettings;
import org.cowslipstair.edge.GatewayComponents;
import org.cowslipstair.edge.ProtocolHeaders;
import org.cowslipstair.edge.sync.StoreWatch;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.logic.relay.WatcherSelector;
import org.cowslipstair.logic.traffic.TrafficStateCache;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.rollout.RolloutOrder;
import org.cowslipstair.model.rollout.RolloutStatus;
import org.cowslipstair.model.traffic.CallerBounds;
import org.cowslipstair.model.traffic.GatewayEntry;
import org.cowslipstair.model.traffic.StorePosition;
import org.cowslipstair.model.traffic.TrafficPlan;
import org.cowslipstair.port.MonotonicClock;
import org.cowslipstair.port.ObjectFeed;
import org.cowslipstair.port.StoreException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Runs several gateways of one zone over loopback, each on its own event loop. */
final class StateSyncTest {
  private static final ZoneName ZONE = new ZoneName("z");
  private static final long MAX_WAITS = 60_000;
  private static final long LOST_CALL_MS = 50;
  private final Map<String, GatewayEntry> announced = new ConcurrentHashMap<>();
  private final List<Node> nodes = new ArrayList<>();
  private volatile boolean storeUnreachable;
  private volatile long version = 1;
  private volatile long epoch = 1;
  private volatile long lostRevisions;
  private volatile boolean losesWatchResponses;
  private final AtomicInteger lostWatchResponses = new AtomicInteger();

  @AfterEach
  void stopNodes() {
    nodes.forEach(Node::stop);
  }

  private void await(BooleanSupplier condition) throws InterruptedException {
    for (int i = 0; i < MAX_WAITS && !condition.getAsBoolean(); i++) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
    assertThat(condition.getAsBoolean(), is(true));
  }

  private Node startNode(String name, List<HostPort> seeds) throws InterruptedException {
    Node node = new Node(name, seeds);
    nodes.add(node);
    return node;
  }

  /** Starts three gateways and returns the one that does not watch the store. */
  private Node startFleet() throws InterruptedException {
    for (String name : List.of("g-1", "g-2", "g-3")) {
      startNode(name, List.of());
    }
    List<String> watchers =
        new WatcherSelector("", ZONE)
            .watchers(List.copyOf(announced.values()), 0).stream().map(GatewayEntry::name).toList();
    nodes.sort(Comparator.comparing(node -> watchers.contains(node.name)));
    Node supplied = nodes.getFirst();
    await(() -> supplied.version() == 1 && supplied.openWatches.get() == 0);
    return supplied;
  }

  @Test
  void changesReachASuppliedGateway() throws InterruptedException {
    Node supplied = startFleet();
    version = 2;
    await(() -> supplied.version() == 2);
  }

  @Test
  void gatewayWatchesTheStoreWhenItsWatchersAreGone() throws InterruptedException {
    Node supplied = startFleet();
    nodes.stream().filter(node -> node != supplied).forEach(Node::stop);
    await(() -> supplied.openWatches.get() > 0);
    version = 3;
    await(() -> supplied.version() == 3);
  }

  @Test
  void gatewayStopsWatchingWhenSuppliedAgainAfterAnOutage() throws InterruptedException {
    Node supplied = startFleet();
    storeUnreachable = true;
    await(() -> supplied.failedLists.get() > 0);
    storeUnreachable = false;
    version = 4;
    await(() -> supplied.version() == 4 && supplied.openWatches.get() == 0);
  }

  /**
   * Incident 5: a change that is confirmed after the store has come back from a copy is not in
   * force.
   */
  @Test
  void changeAfterTheStoresReturnFromACopyReachesEveryGateway() throws InterruptedException {
    Node supplied = startFleet();
    version = 6;
    await(() -> supplied.version() == 6);
    storeUnreachable = true;
    await(() -> supplied.failedLists.get() > 0);
    lostRevisions = 4;
    epoch = 2;
    storeUnreachable = false;
    version = 7;
    await(() -> nodes.stream().allMatch(node -> node.version() == 7));
    version = 8;
    await(() -> nodes.stream().allMatch(node -> node.version() == 8));
  }

  /** Gateways whose announcements were written after the copy was made are unknown to new ones. */
  @Test
  void gatewaysThatACopyLacksAnnounceThemselvesAgain() throws InterruptedException {
    Node supplied = startFleet();
    storeUnreachable = true;
    await(() -> supplied.failedLists.get() > 0);
    announced.clear();
    epoch = 2;
    storeUnreachable = false;
    await(() -> announced.size() == nodes.size());
  }

  /** A watch that hangs over the store's return keeps all changes from the whole zone. */
  @Test
  void watchThatHangsOverTheStoresReturnIsReplaced() throws InterruptedException {
    startFleet();
    version = 6;
    await(() -> nodes.stream().allMatch(node -> node.version() == 6));
    lostRevisions = 4;
    epoch = 2;
    version = 7;
    await(() -> nodes.stream().allMatch(node -> node.version() == 7));
  }

  /** Incident 8: a gateway that serves nobody else keeps an old configuration after a silence. */
  @Test
  void changeMadeWhileTheStoreWasSilentReachesAGatewayWithoutSubscribers()
      throws InterruptedException {
    Node node = startNode("g-1", List.of());
    await(() -> node.openWatches.get() == StoreWatch.COLLECTIONS.size());
    await(() -> node.version() == 1);
    node.silent = true;
    version = 2;
    await(() -> node.failedLists.get() > 0);
    node.silent = false;
    await(() -> node.version() == 2);
  }

  /** Incident 8: the response of one watch is lost, all other calls are answered. */
  @Test
  void changeWhoseWatchLostItsResponseReachesEveryGateway() throws InterruptedException {
    startFleet();
    losesWatchResponses = true;
    version = 2;
    await(() -> lostWatchResponses.get() > 0);
    losesWatchResponses = false;
    await(() -> nodes.stream().allMatch(node -> node.version() == 2));
  }

  /** A key that was withdrawn would go on to work at a gateway that the store turns away. */
  @Test
  void changeReachesEachGatewayThatAloneIsCutOffFromTheStore() throws InterruptedException {
    startFleet();
    await(() -> nodes.stream().allMatch(node -> node.knownGateways == nodes.size()));
    for (Node cutOff : List.copyOf(nodes)) {
      cutOff.silent = true;
      long next = version + 1;
      version = next;
      await(() -> cutOff.version() == next);
      cutOff.silent = false;
      await(() -> nodes.stream().allMatch(node -> node.version() == next));
    }
  }

  @Test
  void newGatewayGetsItsStateFromASeedWhileTheStoreIsUnreachable() throws InterruptedException {
    Node first = startNode("g-1", List.of());
    await(() -> first.version() == 1);
    storeUnreachable = true;
    Node newGateway = startNode("g-9", List.of(announced.get("g-1").relayAddress()));
    await(() -> newGateway.version() == 1);
  }

  /** State synchronization of one gateway, with its own feed. */
  private final class Node {
    final String name;
    final AtomicInteger openWatches = new AtomicInteger();
    final AtomicInteger failedLists = new AtomicInteger();
    private final TrafficStateCache stateCache = new TrafficStateCache(InvariantMonitor.failing());
    private final MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private volatile long version;
    private volatile int knownGateways;
    private volatile boolean silent;

    Node(String name, List<HostPort> seeds) throws InterruptedException {
      this.name = name;
      HostPort anyPort = new HostPort("127.0.0.1", 0);
      FrontSettings settings =
          new FrontSettings(
              name,
              ZONE,
              anyPort,
              anyPort,
              new FrontSettings.Relay(anyPort, seeds, false),
              0.2,
              10,
              1,
              1,
              new FrontSettings.FleetLimits(1, 1_000, 1 << 20, 20),
              FrontSettings.FleetPolicies.none());
      GatewayComponents components =
          new GatewayComponents(
              group.next(),
              MonotonicClock.system(),
              new Random(3),
              new Feed(),
              new ProtocolHeaders("a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k"),
              InvariantMonitor.failing());
      StateSync sync =
          new StateSync(
              settings,
              components,
              stateCache,
              () -> {
                version = stateCache.state(0).plan().map(TrafficPlan::version).orElse(0L);
                knownGateways = stateCache.gateways().size();
              },
              _ -> Optional.empty());
      sync.start();
      await(() -> announced.containsKey(name) || storeUnreachable);
    }

    long version() {
      return version;
    }

    void stop() {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /**
     * Fake store of this gateway; a watch of the configuration completes when the version has
     * changed.
     */
    private final class Feed implements ObjectFeed {
      private List<Item> items(Collection collection) {
        return switch (collection) {
          case CONFIGURATION -> List.of(plan());
          case GATEWAYS ->
              announced.values().stream()
                  .map(entry -> new Item(entry.name(), 1, new Content.Gateway(entry)))
                  .toList();
          case BACKENDS, ZONES_OUT, ROLLOUTS -> List.of();
        };
      }

      private void failIfUnreachable() throws StoreException {
        if (storeUnreachable) {
          throw new StoreException.AnswerLost("watch", "away");
        }
      }

      private Item plan() {
        TrafficPlan plan =
            new TrafficPlan(version(), CallerBounds.defaults(), List.of(), List.of());
        return new Item("main", position().revision(), new Content.Plan(plan));
      }

      private long version() {
        return StateSyncTest.this.version;
      }

      private StorePosition position() {
        return new StorePosition(epoch, version() - lostRevisions);
      }

      @Override
      public Single<Page> list(Collection collection, Optional<String> after, Freshness freshness) {
        if (storeUnreachable) {
          failedLists.incrementAndGet();
          return Single.error(new StoreException.Unavailable("list", "away"));
        }
        if (silent) {
          return Single.<Page>error(new StoreException.AnswerLost("list", "no answer in time"))
              .delaySubscription(LOST_CALL_MS, TimeUnit.MILLISECONDS)
              .doOnError(_ -> failedLists.incrementAndGet());
        }
        return Single.fromCallable(() -> new Page(items(collection), false, position()));
      }

      @Override
      public Single<Changes> watch(Collection collection, long revision, long waitMs) {
        long watchedEpoch = epoch;
        Single<Changes> changes =
            collection == Collection.CONFIGURATION
                ? Single.timer(5, TimeUnit.MILLISECONDS)
                    .repeat()
                    .doOnNext(_ -> failIfUnreachable())
                    .filter(_ -> epoch == watchedEpoch && position().revision() > revision)
                    .firstOrError()
                    .flatMap(_ -> loseOr(new Changes(List.of(plan()), Set.of(), position())))
                : Single.never();
        return changes
            .doOnSubscribe(_ -> openWatches.incrementAndGet())
            .doFinally(openWatches::decrementAndGet);
      }

      private Single<Changes> loseOr(Changes changes) {
        if (!silent && !losesWatchResponses) {
          return Single.just(changes);
        }
        lostWatchResponses.incrementAndGet();
        return Single.never();
      }

      @Override
      public Single<Item> recordStatus(RolloutOrder order, RolloutStatus status) {
        return Single.error(new StoreException.Unavailable("record a status", "no rollouts"));
      }

      @Override
      public Completable announce(GatewayEntry gateway) {
        if (storeUnreachable) {
          return Completable.error(new StoreException.Unavailable("announce", "away"));
        }
        return Completable.fromAction(() -> announced.put(gateway.name(), gateway));
      }
    }
  }
}
