package org.cowslipstair.edge.relay;

import io.netty.channel.EventLoop;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.schedulers.Schedulers;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.edge.FrontSettings;
import org.cowslipstair.edge.GatewayComponents;
import org.cowslipstair.edge.loop.RepeatedTask;
import org.cowslipstair.edge.peer.PeerFrameHandler;
import org.cowslipstair.edge.sync.StoreWatch;
import org.cowslipstair.logic.traffic.OutageTracker;
import org.cowslipstair.logic.traffic.TrafficStateCache;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.traffic.GatewayEntry;
import org.cowslipstair.model.traffic.StorePosition;
import org.cowslipstair.port.ObjectFeed;
import org.cowslipstair.port.ObjectFeed.Collection;
import org.cowslipstair.port.ObjectFeed.Freshness;
import org.jboss.logging.Logger;

/**
 * Synchronizes this gateway's state with the store. Two gateways of each zone watch the store and
 * relay changes to the others, along with proof that what they supply is current. The others start
 * to watch the store themselves when no proof is fresh. Confined to its event loop.
 */
public final class StateSync implements StoreWatch.Listener {
  private static final Logger LOG = Logger.getLogger(StateSync.class);
  private static final long CHECK_INTERVAL_MS = 250;

  /** Age of the proof that the state is current at which a watcher renews it. */
  private static final long MAX_PROOF_AGE_MS = 500;

  /**
   * Time from the start after which a gateway watches the store itself if the fleet is still
   * unknown.
   */
  private static final long FLEET_GRACE_MS = 3_000;

  /**
   * Time after the fleet became known at which a gateway without proof watches the store itself.
   */
  private static final long PROOF_GRACE_MS = 2_200;

  /**
   * Time from the start after which a gateway without a state lists the collections from the
   * store's cache.
   */
  private static final long CACHED_LIST_DELAY_MS = 600;

  /**
   * Time without fresh proof in which newly selected watchers may take over, before every gateway
   * turns to the store. Together with the age of a stale proof, a check interval and a list call,
   * this stays within 2 s.
   */
  private static final long TAKEOVER_GRACE_MS = 300;

  /** Maximum mean delay between probes of an unreachable store. */
  private static final long MAX_WATCHER_BACKOFF_MS = 600;

  /** Same for gateways that the watchers will supply once they regain contact. */
  private static final long MAX_OTHERS_BACKOFF_MS = 1_600;

  private static final long NS_PER_MS = 1_000_000L;

  private final FrontSettings settings;
  private final GatewayComponents components;
  private final Scheduler scheduler;
  private final TrafficStateCache stateCache;
  private final Runnable onChange;
  private final RelayServer server;
  private final RelaySubscriptions subscriptions;
  private final StoreWatch storeWatch;
  private final GatewayDirectory directory;
  private final long startedNs;
  private final Map<Collection, StorePosition> publishedPositions = new EnumMap<>(Collection.class);
  private GatewayEntry self;
  private long fleetUnknownUntilNs;

  /**
   * Creates a synchronizer that is not started.
   *
   * @param onChange called on the event loop after the state has changed
   * @param frameHandler responds to the frames of other gateways
   */
  public StateSync(
      FrontSettings settings,
      GatewayComponents components,
      TrafficStateCache stateCache,
      Runnable onChange,
      PeerFrameHandler frameHandler) {
    this.settings = settings;
    this.components = components;
    this.scheduler = Schedulers.from(components.loop());
    this.stateCache = stateCache;
    this.onChange = onChange;
    this.storeWatch =
        new StoreWatch(
            StoreWatch.collections(settings.policies()),
            components.feed(),
            scheduler,
            components.clock(),
            components.random(),
            settings.limits().changeBatchDelayMs(),
            this);
    this.directory = new GatewayDirectory(components, scheduler, new DirectoryListener());
    this.startedNs = components.clock().nowNs();
    this.fleetUnknownUntilNs = startedNs;
    this.self = new GatewayEntry(settings.name(), settings.zone(), settings.relay().address());
    this.server = new RelayServer(components.clock(), this::snapshotMessages, frameHandler);
    this.subscriptions =
        new RelaySubscriptions(settings, components.loop(), components.clock(), new LinkListener());
  }

  /** Starts the relay server, then synchronization. Blocks until the relay port is bound. */
  public void start() throws InterruptedException {
    EventLoop loop = components.loop();
    int port = server.open(loop, settings.relay().address());
    self =
        new GatewayEntry(
            settings.name(),
            settings.zone(),
            new HostPort(settings.relay().address().host(), port));
    loop.execute(
        () -> {
          subscriptions.openSeeds();
          directory.start(self);
          RepeatedTask.start(loop, "relay", this::check);
          if (!settings.relay().firstStart()) {
            loop.schedule(this::listCached, CACHED_LIST_DELAY_MS, TimeUnit.MILLISECONDS);
          }
        });
  }

  /** Returns whether this gateway watches the store itself. */
  public boolean isWatching() {
    return storeWatch.isWatching();
  }

  /** Returns whether another gateway supplies current state, with fresh proof of its contact. */
  public boolean isSupplied() {
    return subscriptions.isFresh();
  }

  /**
   * Returns the gateways that have proved to supply current state, with the age of their last proof
   * in milliseconds.
   */
  public Map<String, Long> suppliers() {
    Map<String, Long> ages = new LinkedHashMap<>();
    subscriptions.provenLinks().forEach(link -> ages.put(link.peer().name(), link.proofAgeMs()));
    return ages;
  }

  /**
   * Returns the time in milliseconds since the state read from the store was known to be current;
   * empty if it is not known or if this gateway does not watch the store.
   */
  public OptionalLong proofAgeMs() {
    OptionalLong asOfNs = storeWatch.currentAsOfNs();
    return asOfNs.isEmpty()
        ? asOfNs
        : OptionalLong.of((components.clock().nowNs() - asOfNs.getAsLong()) / NS_PER_MS);
  }

  /** Returns whether there is fresh proof that the state is current, own or of a supplier. */
  public boolean isCurrent() {
    return subscriptions.isProvenWithin(RelaySubscriptions.MAX_FRESH_PROOF_AGE_MS)
        || proofAgeMs().orElse(Long.MAX_VALUE) <= RelaySubscriptions.MAX_FRESH_PROOF_AGE_MS;
  }

  /** Returns the number of gateways subscribed to this one. */
  public int subscriberCount() {
    return server.subscribers();
  }

  /**
   * Lists possibly stale collections once, so that requests can be served while the watchers are
   * still starting.
   */
  private void listCached() {
    for (Collection collection : storeWatch.collections()) {
      if (!storeWatch.isWatching() && stateCache.revision(collection) == 0) {
        components
            .feed()
            .list(collection, Optional.empty(), Freshness.CACHED)
            .observeOn(scheduler)
            .subscribe(
                page -> applyCachedList(collection, page),
                cause ->
                    LOG.warnf(
                        "store: initial cached list of %s failed: %s",
                        collection, cause.getMessage()));
      }
    }
  }

  private void applyCachedList(Collection collection, ObjectFeed.Page page) {
    if (!page.hasMore() && stateCache.revision(collection) == 0) {
      stateCache.replace(collection, page.items(), page.position(), components.clock().nowNs(), 0);
      onChange.run();
    }
  }

  private long check() {
    updateWatching();
    publishProof(components.clock().nowNs());
    return CHECK_INTERVAL_MS;
  }

  /** Starts to watch the store if this gateway has to, and stops if others supply it. */
  private void updateWatching() {
    long nowNs = components.clock().nowNs();
    List<GatewayEntry> knownGateways = stateCache.gateways();
    boolean isFleetKnown = knownGateways.size() > 1 || !settings.relay().firstStart();
    if (!isFleetKnown) {
      fleetUnknownUntilNs = nowNs;
    }
    boolean hasGraceElapsed =
        nowNs - fleetUnknownUntilNs > PROOF_GRACE_MS * NS_PER_MS
            || nowNs - startedNs > FLEET_GRACE_MS * NS_PER_MS;
    subscriptions.recordOwnProof(
        isWatching() ? storeWatch.currentAsOfNs() : OptionalLong.of(nowNs));
    boolean isWatcher = subscriptions.update(knownGateways, self, nowNs);
    boolean isSupplied = subscriptions.isFresh();
    boolean isAlone =
        knownGateways.isEmpty() && !settings.relay().firstStart() && directory.hasBeenListed();
    boolean isUnsupplied =
        !isSupplied
            && hasGraceElapsed
            && !subscriptions.hasLostProofWithin(TAKEOVER_GRACE_MS * NS_PER_MS, nowNs);
    boolean shouldWatch = isAlone || isWatcher && isFleetKnown || isUnsupplied;
    storeWatch.setMaxBackoff(
        subscriptions.isPreferredWatcher(knownGateways)
            ? MAX_WATCHER_BACKOFF_MS
            : MAX_OTHERS_BACKOFF_MS);
    if (shouldWatch && !storeWatch.isWatching()) {
      LOG.info("relay: started watching the store");
      storeWatch.start(stateCache.isComplete());
    } else if (!shouldWatch && storeWatch.isWatching()) {
      if (isSupplied && storeWatch.isUnreachable() || subscriptions.isSteady(nowNs)) {
        LOG.info("relay: stopped watching the store, supplied by other gateways");
        storeWatch.stop();
      }
    }
  }

  /**
   * Publishes the proof that the state supplied to subscribers is current, and has it renewed if it
   * is too old.
   */
  private void publishProof(long nowNs) {
    OptionalLong asOfNs = storeWatch.currentAsOfNs();
    if (storeWatch.isUpToDate() && asOfNs.isPresent()) {
      long ageMs = (nowNs - asOfNs.getAsLong()) / NS_PER_MS;
      server.publish(new RelayMessage.CurrencyProof(ageMs, publishedPositions));
    }
    storeWatch.renewProof((MAX_PROOF_AGE_MS - CHECK_INTERVAL_MS) * NS_PER_MS);
  }

  private void publish(Collection collection, StorePosition position, RelayMessage message) {
    if (storeWatch.collections().contains(collection)) {
      publishedPositions.merge(
          collection, position, (old, next) -> next.compareTo(old) > 0 ? next : old);
    }
    server.publish(message);
  }

  private List<RelayMessage> snapshotMessages() {
    List<RelayMessage> messages = new ArrayList<>();
    for (Collection collection : Collection.values()) {
      if (stateCache.revision(collection) > 0) {
        messages.add(
            new RelayMessage.Snapshot(
                collection, stateCache.position(collection), stateCache.items(collection)));
      }
    }
    return messages;
  }

  private void onRelayMessage(RelayMessage message) {
    switch (message) {
      case RelayMessage.Snapshot(var collection, var position, var items) -> {
        if (replace(collection, items, position, 0)) {
          onChange.run();
        }
      }
      case RelayMessage.Update(var collection, var changes, long graceMs) ->
          apply(collection, changes, graceMs * NS_PER_MS);
      case RelayMessage.CurrencyProof _ -> {}
    }
  }

  @Override
  public void onListed(
      Collection collection, List<ObjectFeed.Item> items, StorePosition position, long graceNs) {
    replace(collection, items, position, graceNs);
    scheduleRefresh(graceNs);
    onChange.run();
    StorePosition replacedAt = stateCache.position(collection);
    publish(
        collection,
        replacedAt,
        new RelayMessage.Snapshot(collection, replacedAt, stateCache.items(collection)));
  }

  @Override
  public void onChanged(Collection collection, ObjectFeed.Changes changes, long graceNs) {
    apply(collection, changes, graceNs);
    publish(
        collection,
        changes.position(),
        new RelayMessage.Update(collection, changes, graceNs / NS_PER_MS));
  }

  @Override
  public ObjectFeed.Changes missing(
      Collection collection, List<ObjectFeed.Item> items, StorePosition position) {
    return stateCache.missing(collection, items, position);
  }

  private boolean replace(
      Collection collection, List<ObjectFeed.Item> items, StorePosition position, long graceNs) {
    StorePosition previous = stateCache.position(collection);
    if (position.epoch() > previous.epoch() && previous.revision() > 0) {
      LOG.warnf(
          "store: returned from a copy: %s at revision %s after %s",
          collection, position, previous);
      onReturnFromCopy(collection, items);
    }
    return stateCache.replace(collection, items, position, components.clock().nowNs(), graceNs);
  }

  private void onReturnFromCopy(Collection collection, List<ObjectFeed.Item> items) {
    scheduleRefresh(OutageTracker.RENEWAL_GRACE_NS);
    scheduleRefresh(TrafficStateCache.REWRITE_GRACE_NS);
    if (collection == Collection.CONFIGURATION) {
      directory.onReturnFromCopy(storeWatch.isWatching());
    } else if (collection == Collection.GATEWAYS) {
      directory.announceUnlessListed(items);
    }
  }

  private void apply(Collection collection, ObjectFeed.Changes changes, long graceNs) {
    if (stateCache.apply(collection, changes, components.clock().nowNs(), graceNs)) {
      scheduleRefresh(graceNs);
      onChange.run();
    }
  }

  /**
   * Schedules a refresh for the end of the grace, when objects that are still missing are dropped.
   */
  private void scheduleRefresh(long graceNs) {
    if (graceNs > 0) {
      scheduler.scheduleDirect(onChange, graceNs, TimeUnit.NANOSECONDS);
    }
  }

  private final class LinkListener implements RelayLink.Listener {
    @Override
    public void onMessage(RelayMessage message) {
      onRelayMessage(message);
    }

    @Override
    public boolean hasReached(Map<Collection, StorePosition> positions) {
      return positions.entrySet().stream()
          .allMatch(entry -> stateCache.position(entry.getKey()).compareTo(entry.getValue()) >= 0);
    }
  }

  private final class DirectoryListener implements GatewayDirectory.Listener {
    @Override
    public boolean needsList() {
      return storeWatch.isWatching() || stateCache.gateways().isEmpty();
    }

    @Override
    public void onListed(ObjectFeed.Page page) {
      StateSync.this.onListed(Collection.GATEWAYS, page.items(), page.position(), 0);
      updateWatching();
    }

    @Override
    public boolean isKnown(GatewayEntry gateway) {
      return stateCache.gateways().contains(gateway);
    }
  }
}
