package org.cowslipstair.runtime.config;

import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.cowslipstair.logic.config.ConfigCore;
import org.cowslipstair.logic.config.ConfigSettings;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.model.config.ConfigSnapshot;
import org.cowslipstair.model.config.Labels;
import org.cowslipstair.model.config.Zone;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.peer.ConfigMessage;
import org.cowslipstair.port.MonotonicClock;
import org.cowslipstair.port.PlatformStore;
import org.cowslipstair.runtime.membership.InstanceListPoller;

/** The part of a gateway that reads configuration and the instance list from the store. */
final class WatchingGateway implements ConfigRuntime.Listener, AutoCloseable {
  private final ExecutorService controlLoop = Executors.newSingleThreadExecutor();
  final CountingStore store;
  final ConfigRuntime config;
  final AtomicInteger storeContacts = new AtomicInteger();
  final AtomicBoolean wasStatusPublishedTooEarly = new AtomicBoolean();
  private final ConfigWatcher watcher;
  private final InstanceListPoller poller;

  WatchingGateway(PlatformStore platform, long seed, int gatewayCount) {
    store = new CountingStore(platform);
    ConfigCore core =
        new ConfigCore(
            ConfigSettings.defaults(),
            stored ->
                new Zone(
                    new ZoneName(stored.key().name()),
                    Labels.empty().with(Labels.STATE, stored.json())),
            InvariantMonitor.failing());
    config = new ConfigRuntime(core, controlLoop, MonotonicClock.system(), this);
    Random random = new Random(seed);
    watcher =
        new ConfigWatcher(
            store, config, StoreBackoff.defaults(), random, () -> false, () -> gatewayCount);
    poller = new InstanceListPoller(store, _ -> {}, StoreBackoff.defaults(), random);
    watcher.start();
    poller.start();
  }

  String stateOf(String zone) {
    return config
        .snapshot()
        .zone(new ZoneName(zone))
        .flatMap(configured -> configured.labels().get(Labels.STATE))
        .orElse("absent");
  }

  @Override
  public void send(GatewayName to, ConfigMessage message) {}

  @Override
  public void broadcast(ConfigMessage message) {}

  @Override
  public void onConfigInForce(ConfigSnapshot snapshot) {
    boolean isAlreadyPublished = config.versionInForce().revision() == snapshot.revision();
    wasStatusPublishedTooEarly.compareAndSet(false, isAlreadyPublished);
  }

  @Override
  public void onStoreConfirmation() {
    storeContacts.incrementAndGet();
  }

  @Override
  public void close() {
    watcher.close();
    poller.close();
    controlLoop.shutdownNow();
  }
}
