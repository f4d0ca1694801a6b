package org.cowslipstair.edge.relay;

import io.netty.channel.EventLoop;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.schedulers.Schedulers;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.edge.FrontSettings;
import org.cowslipstair.edge.GatewayParts;
import org.cowslipstair.edge.sync.StoreWatch;
import org.cowslipstair.logic.traffic.TrafficKeeper;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.traffic.GatewayEntry;
import org.cowslipstair.port.ObjectFeed;
import org.cowslipstair.port.ObjectFeed.Collection;
import org.cowslipstair.port.ObjectFeed.Freshness;
import org.jboss.logging.Logger;

/**
 * Keeps this gateway's state in step with the store. Two gateways of each zone watch the store and
 * pass changes on, with proof of their contact; the others take over by themselves when no proof is
 * fresh. Lives on its event loop.
 */
public final class StateSync implements StoreWatch.Listener {
  private static final Logger LOG = Logger.getLogger(StateSync.class);
  private static final long CHECK_MS = 250;

  /** Longest silence of the store before a watcher asks it for proof, a call that costs a tenth. */
  private static final long PROOF_MS = 500;

  /** Time from the start after which a gateway watches itself if the fleet is not known. */
  private static final long FLEET_GRACE_MS = 3_000;

  /** Time from the first look at the fleet after which a gateway without proof watches itself. */
  private static final long PROOF_GRACE_MS = 2_200;

  /** Pauses before the gateways are looked up again; the last is repeated. */
  private static final long[] LOOK_UP_MS = {1_500, 3_000, 6_000, 15_000};

  /** Time from the start after which a gateway that nobody supplies takes one stale look. */
  private static final long GLANCE_MS = 600;

  /**
   * Time without proof in which the next watchers may supply the others, before all turn to the
   * store. With the age at which proof is stale, a check and a list this stays within 2 s.
   */
  private static final long SUCCESSION_MS = 300;

  /** Longest mean pause between two questions to a store that is out of reach. */
  private static final long WATCHER_BACKOFF_MS = 600;

  /** The same for a gateway that will be supplied by the watchers when they have contact again. */
  private static final long OTHERS_BACKOFF_MS = 1_600;

  private static final long ANNOUNCE_AGAIN_MS = 2_000;
  private static final long NS_PER_MS = 1_000_000L;

  private final FrontSettings settings;
  private final GatewayParts parts;
  private final Scheduler scheduler;
  private final TrafficKeeper keeper;
  private final Runnable onChange;
  private final RelayServer server;
  private final RelaySubscriptions subscriptions;
  private final StoreWatch store;
  private final long startedNs;
  private GatewayEntry self;
  private long fleetKnownNs;
  private long contactNs;
  private boolean everInContact;
  private boolean asking;
  private int lookUps;
  private boolean lookedUp;
  private boolean announced;

  /**
   * Creates a synchronizer.
   *
   * @param onChange called after the state has changed
   */
  public StateSync(
      FrontSettings settings, GatewayParts parts, TrafficKeeper keeper, Runnable onChange) {
    this.settings = settings;
    this.parts = parts;
    this.scheduler = Schedulers.from(parts.loop());
    this.keeper = keeper;
    this.onChange = onChange;
    this.store =
        new StoreWatch(
            parts.feed(),
            scheduler,
            parts.clock(),
            parts.random(),
            settings.bounds().gatherMs(),
            this);
    this.startedNs = parts.clock().nowNs();
    this.fleetKnownNs = startedNs;
    this.self = new GatewayEntry(settings.name(), settings.zone(), settings.relay().address());
    this.server = new RelayServer(parts.clock(), this::snapshots);
    this.subscriptions =
        new RelaySubscriptions(settings, parts.loop(), parts.clock(), this::received);
  }

  /** Starts to accept other gateways, then to follow. */
  public void start() throws InterruptedException {
    EventLoop loop = parts.loop();
    int port = server.open(loop, settings.relay().address());
    self =
        new GatewayEntry(
            settings.name(),
            settings.zone(),
            new HostPort(settings.relay().address().host(), port));
    loop.execute(
        () -> {
          subscriptions.openSeeds();
          lookUp();
          check();
          if (!settings.relay().firstStart()) {
            later(this::glance, GLANCE_MS);
          }
        });
  }

  /** Returns whether this gateway watches the store itself. */
  public boolean isWatching() {
    return store.isOn();
  }

  /** Returns whether another gateway proves that what it passes on is current. */
  public boolean isSupplied() {
    return subscriptions.isFresh();
  }

  /** Returns the number of gateways that this one supplies. */
  public int subscribers() {
    return server.subscribers();
  }

  private void announce() {
    parts
        .feed()
        .announce(self)
        .observeOn(scheduler)
        .subscribe(
            () -> {},
            cause -> {
              LOG.warnf("fleet: announcing this gateway failed: %s", cause.getMessage());
              later(this::announce, ANNOUNCE_AGAIN_MS);
            });
  }

  private void lookUp() {
    long nextMs = LOOK_UP_MS[Math.min(lookUps, LOOK_UP_MS.length - 1)];
    lookUps++;
    boolean needed = lookUps <= 2 || store.isOn() || keeper.gateways().isEmpty();
    later(this::lookUp, nextMs + parts.random().nextLong(nextMs / 4));
    if (!needed) {
      return;
    }
    parts
        .feed()
        .list(Collection.GATEWAYS, Optional.empty(), Freshness.CACHED)
        .observeOn(scheduler)
        .subscribe(
            page -> {
              lookedUp = true;
              listed(Collection.GATEWAYS, page.items(), page.revision(), 0);
              announceIfUnknown();
              decide();
            },
            cause -> {
              LOG.warnf("fleet: reading the gateways failed: %s", cause.getMessage());
              announceIfUnknown();
            });
  }

  /** Announces this gateway unless the store lists it as it is; a restart changes nothing. */
  private void announceIfUnknown() {
    if (!announced && !keeper.gateways().contains(self)) {
      announced = true;
      announce();
    }
  }

  /** Lists once what may be seconds old, so as to serve while the watchers still start. */
  private void glance() {
    for (Collection collection : StoreWatch.COLLECTIONS) {
      if (!store.isOn() && keeper.revision(collection) == 0) {
        parts
            .feed()
            .list(collection, Optional.empty(), Freshness.CACHED)
            .observeOn(scheduler)
            .subscribe(
                page -> glanced(collection, page),
                cause ->
                    LOG.warnf(
                        "store: a first look at %s failed: %s", collection, cause.getMessage()));
      }
    }
  }

  private void glanced(Collection collection, ObjectFeed.Page page) {
    if (!page.hasMore() && keeper.revision(collection) == 0) {
      keeper.replace(collection, page.items(), page.revision(), parts.clock().nowNs(), 0);
      onChange.run();
    }
  }

  private void check() {
    decide();
    prove(parts.clock().nowNs());
    later(this::check, CHECK_MS);
  }

  /** Watches the store where this gateway has to, and stops where others supply it. */
  private void decide() {
    long nowNs = parts.clock().nowNs();
    List<GatewayEntry> known = keeper.gateways();
    boolean fleetKnown = known.size() > 1 || !settings.relay().firstStart();
    if (!fleetKnown) {
      fleetKnownNs = nowNs;
    }
    boolean graceOver =
        nowNs - fleetKnownNs > PROOF_GRACE_MS * NS_PER_MS
            || nowNs - startedNs > FLEET_GRACE_MS * NS_PER_MS;
    boolean isWatcher = subscriptions.update(known, self, nowNs);
    boolean isSupplied = subscriptions.isFresh();
    boolean alone = known.isEmpty() && !settings.relay().firstStart() && lookedUp;
    boolean isOrphan =
        !isSupplied && graceOver && !subscriptions.lostWithin(SUCCESSION_MS * NS_PER_MS, nowNs);
    boolean wanted = alone || isWatcher && fleetKnown || isOrphan;
    store.longestBackoff(
        subscriptions.isFirstChoice(known) ? WATCHER_BACKOFF_MS : OTHERS_BACKOFF_MS);
    if (wanted && !store.isOn()) {
      LOG.info("relay: watching the store");
      store.start(keeper.isComplete());
    } else if (!wanted && store.isOn()) {
      if (isSupplied && store.isOut() || subscriptions.isSteady(nowNs)) {
        LOG.info("relay: supplied by other gateways");
        store.stop();
      }
    }
  }

  /** Tells subscribers how old the knowledge is; asks the store when it has been silent. */
  private void prove(long nowNs) {
    if (!store.isCurrent() || !everInContact || server.subscribers() == 0) {
      return;
    }
    long ageMs = (nowNs - contactNs) / NS_PER_MS;
    server.publish(new RelayMessage.Proof(ageMs));
    if (ageMs < PROOF_MS - CHECK_MS || asking) {
      return;
    }
    asking = true;
    long askedNs = nowNs;
    parts
        .feed()
        .list(Collection.ZONES_OUT, Optional.empty(), Freshness.CACHED)
        .observeOn(scheduler)
        .subscribe(
            _ -> {
              asking = false;
              contactAt(askedNs);
            },
            cause -> {
              asking = false;
              LOG.warnf("relay: the store gave no proof of contact: %s", cause.getMessage());
            });
  }

  private void contactAt(long ns) {
    contactNs = everInContact ? Math.max(contactNs, ns) : ns;
    everInContact = true;
  }

  private List<RelayMessage> snapshots() {
    List<RelayMessage> messages = new ArrayList<>();
    for (Collection collection : Collection.values()) {
      if (keeper.revision(collection) > 0) {
        messages.add(
            new RelayMessage.Snapshot(
                collection, keeper.revision(collection), keeper.items(collection)));
      }
    }
    return messages;
  }

  private void received(RelayMessage message) {
    long nowNs = parts.clock().nowNs();
    switch (message) {
      case RelayMessage.Snapshot(var collection, long revision, var items) -> {
        keeper.replace(collection, items, revision, nowNs, 0);
        onChange.run();
      }
      case RelayMessage.Changed(var collection, var changes, long graceMs) ->
          apply(collection, changes, graceMs * NS_PER_MS);
      case RelayMessage.Proof _ -> {}
    }
  }

  @Override
  public void listed(
      Collection collection, List<ObjectFeed.Item> items, long revision, long graceNs) {
    long nowNs = parts.clock().nowNs();
    contactAt(nowNs);
    keeper.replace(collection, items, revision, nowNs, graceNs);
    refreshLater(graceNs);
    onChange.run();
    server.publish(
        new RelayMessage.Snapshot(
            collection, keeper.revision(collection), keeper.items(collection)));
  }

  @Override
  public void changed(Collection collection, ObjectFeed.Changes changes, long graceNs) {
    contactAt(parts.clock().nowNs());
    apply(collection, changes, graceNs);
    server.publish(new RelayMessage.Changed(collection, changes, graceNs / NS_PER_MS));
  }

  private void apply(Collection collection, ObjectFeed.Changes changes, long graceNs) {
    keeper.apply(collection, changes, parts.clock().nowNs(), graceNs);
    refreshLater(graceNs);
    onChange.run();
  }

  /** Entries that lapsed during an outage are dropped when their grace is over. */
  private void refreshLater(long graceNs) {
    if (graceNs > 0) {
      scheduler.scheduleDirect(onChange, graceNs, TimeUnit.NANOSECONDS);
    }
  }

  private void later(Runnable action, long delayMs) {
    parts.loop().schedule(action, delayMs, TimeUnit.MILLISECONDS);
  }
}
