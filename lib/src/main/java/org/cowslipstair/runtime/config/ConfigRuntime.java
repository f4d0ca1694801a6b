package org.cowslipstair.runtime.config;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.cowslipstair.logic.config.ConfigAction;
import org.cowslipstair.logic.config.ConfigBatch;
import org.cowslipstair.logic.config.ConfigCore;
import org.cowslipstair.logic.config.ConfigEvent;
import org.cowslipstair.logic.config.ConfigStatus;
import org.cowslipstair.model.config.ConfigSnapshot;
import org.cowslipstair.model.config.ConfigVersion;
import org.cowslipstair.model.config.StoreId;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.peer.ConfigMessage;
import org.cowslipstair.port.MonotonicClock;
import org.jboss.logging.Logger;

/** Carries out the decisions of {@link ConfigCore} on the control loop. */
public final class ConfigRuntime {
  private static final Logger LOG = Logger.getLogger(ConfigRuntime.class);

  private final ConfigCore core;
  private final Executor controlLoop;
  private final MonotonicClock clock;
  private final Listener listener;
  private final AtomicReference<ConfigSnapshot> snapshot =
      new AtomicReference<>(ConfigSnapshot.empty());
  private final AtomicReference<ConfigStatus> status;
  private final Semaphore listRequests = new Semaphore(0);

  /** Creates a runtime without configuration. */
  public ConfigRuntime(
      ConfigCore core, Executor controlLoop, MonotonicClock clock, Listener listener) {
    this.core = core;
    this.controlLoop = controlLoop;
    this.clock = clock;
    this.listener = listener;
    this.status = new AtomicReference<>(core.status());
  }

  /** Receives what the configuration wants done; called on the control loop. */
  public interface Listener {
    /** Sends a message to a peer. */
    void send(GatewayName to, ConfigMessage message);

    /** Sends a message to all peers. */
    void broadcast(ConfigMessage message);

    /** Takes a configuration that has come into force. */
    void onConfig(ConfigSnapshot snapshot);

    /** Takes the news that the store confirmed what is in force. */
    void onStoreContact();
  }

  /** Returns the configuration in force; may be called on any thread. */
  public ConfigSnapshot snapshot() {
    return snapshot.get();
  }

  /** Returns the state for operators; may be called on any thread. */
  public ConfigStatus status() {
    return status.get();
  }

  /** Returns the version in force; may be called on any thread. */
  public ConfigVersion inForce() {
    return status.get().inForce();
  }

  /**
   * Takes a batch of the store from any thread.
   *
   * @return whether the store has to be listed next
   */
  public CompletableFuture<Boolean> onStoreBatch(ConfigBatch batch, ConfigVersion askedAt) {
    return CompletableFuture.supplyAsync(
        () -> {
          boolean listAgain = apply(core.onStoreBatch(batch, askedAt, clock.nowNs()));
          if (!listAgain) {
            listener.onStoreContact();
          }
          return listAgain;
        },
        controlLoop);
  }

  /** Accepts a store at an operator's command; may be called on any thread. */
  public CompletableFuture<ConfigStatus> acceptStore(StoreId storeId) {
    return CompletableFuture.supplyAsync(
        () -> {
          requestListIf(apply(core.acceptStore(storeId)));
          return status.get();
        },
        controlLoop);
  }

  /** Takes what a peer has in force; on the control loop. */
  public void onPeerVersion(GatewayName peer, ConfigVersion version) {
    apply(core.onPeerVersion(peer, version, clock.nowNs()));
  }

  /** Forgets a peer; on the control loop. */
  public void onPeerGone(GatewayName peer) {
    core.onPeerGone(peer);
  }

  /** Takes a message of a peer; on the control loop. */
  public void onMessage(GatewayName from, ConfigMessage message) {
    requestListIf(apply(core.onMessage(from, message, clock.nowNs())));
  }

  private void requestListIf(boolean listAgain) {
    if (listAgain) {
      listRequests.release();
    }
  }

  /** Waits until the store has to be listed at once; returns false when the time is over. */
  public boolean awaitListRequest(long timeoutMs) throws InterruptedException {
    boolean requested = listRequests.tryAcquire(timeoutMs, TimeUnit.MILLISECONDS);
    listRequests.drainPermits();
    return requested;
  }

  /** Does what is due; on the control loop. */
  public void tick(long nowNs) {
    apply(core.tick(nowNs));
  }

  private boolean apply(List<ConfigAction> actions) {
    if (actions.isEmpty()) {
      return false;
    }
    boolean listAgain = false;
    for (ConfigAction action : actions) {
      switch (action) {
        case ConfigAction.Send send -> listener.send(send.to(), send.message());
        case ConfigAction.Broadcast broadcast -> listener.broadcast(broadcast.message());
        case ConfigAction.Publish publish -> {
          snapshot.set(publish.snapshot());
          listener.onConfig(publish.snapshot());
        }
        case ConfigAction.ListAgain _ -> listAgain = true;
        case ConfigAction.Report report -> log(report.event());
      }
    }
    status.set(core.status()); // Last, so that what it reports is in force.
    return listAgain;
  }

  private static void log(ConfigEvent event) {
    switch (event) {
      case ConfigEvent.ObjectInvalid invalid ->
          LOG.warnf(
              "config: %s version %d is invalid: %s",
              invalid.key(), invalid.version(), invalid.reason());
      case ConfigEvent.StoreRefused refused ->
          LOG.errorf(
              "config: store \"%s\" at revision %d is refused: %s",
              refused.store().storeId(), refused.store().revision(), refused.store().reason());
      case ConfigEvent.StoreRestored restored ->
          LOG.infof("config: store \"%s\" is back", restored.storeId());
      case ConfigEvent.StoreAccepted accepted ->
          LOG.infof(
              "config: store \"%s\" is accepted, term %d",
              accepted.storeId(), accepted.storeTerm());
      case ConfigEvent.StoreReplaced replaced ->
          LOG.infof(
              "config: store \"%s\" is in force, term %d, revision %d",
              replaced.storeId(), replaced.storeTerm(), replaced.revision());
      case ConfigEvent.PeerDisagrees disagrees ->
          LOG.errorf(
              "config: gateway \"%s\" has store \"%s\" in force",
              disagrees.peer(), disagrees.storeId());
    }
  }
}
