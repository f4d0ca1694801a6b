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
import org.cowslipstair.model.config.StoreRevision;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.peer.ConfigMessage;
import org.cowslipstair.port.MonotonicClock;
import org.jboss.logging.Logger;

/** Executes the decisions of {@link ConfigCore} on the control loop. */
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

  /** Creates a runtime that has no configuration yet. */
  public ConfigRuntime(
      ConfigCore core, Executor controlLoop, MonotonicClock clock, Listener listener) {
    this.core = core;
    this.controlLoop = controlLoop;
    this.clock = clock;
    this.listener = listener;
    this.status = new AtomicReference<>(core.status());
  }

  /**
   * Sends the messages and receives the events of the configuration. Called on the control loop.
   */
  public interface Listener {
    /** Sends a message to a peer. */
    void send(GatewayName to, ConfigMessage message);

    /** Sends a message to all peers. */
    void broadcast(ConfigMessage message);

    /** Called when a configuration has come into force. */
    void onConfigInForce(ConfigSnapshot snapshot);

    /** Called when the store has confirmed the configuration in force. */
    void onStoreConfirmation();
  }

  /** Returns the configuration in force; may be called on any thread. */
  public ConfigSnapshot snapshot() {
    return snapshot.get();
  }

  /** Returns the status for operators; may be called on any thread. */
  public ConfigStatus status() {
    return status.get();
  }

  /** Returns the configuration version in force; may be called on any thread. */
  public ConfigVersion versionInForce() {
    return status.get().inForce();
  }

  /**
   * Applies a batch of objects from the store on the control loop; may be called on any thread.
   *
   * @param versionAtRequest version in force when the batch was requested
   * @return whether the store must be listed next instead of watched
   */
  public CompletableFuture<Boolean> onStoreBatch(
      ConfigBatch batch, ConfigVersion versionAtRequest) {
    return CompletableFuture.supplyAsync(
        () -> {
          boolean shouldList = apply(core.onStoreBatch(batch, versionAtRequest, clock.nowNs()));
          if (!shouldList) {
            listener.onStoreConfirmation();
          }
          return shouldList;
        },
        controlLoop);
  }

  /** Accepts a store on an operator's request; may be called on any thread. */
  public CompletableFuture<ConfigStatus> acceptStore(StoreId storeId) {
    return CompletableFuture.supplyAsync(
        () -> {
          requestListIfNeeded(apply(core.acceptStore(storeId)));
          return status.get();
        },
        controlLoop);
  }

  /** Handles the version that a peer has in force; call on the control loop. */
  public void onPeerVersion(GatewayName peer, ConfigVersion version) {
    apply(core.onPeerVersion(peer, version, clock.nowNs()));
  }

  /** Drops the state of a peer that is no longer connected; call on the control loop. */
  public void onPeerDisconnected(GatewayName peer) {
    core.onPeerDisconnected(peer);
  }

  /** Handles a message from a peer; call on the control loop. */
  public void onMessage(GatewayName from, ConfigMessage message) {
    requestListIfNeeded(apply(core.onMessage(from, message, clock.nowNs())));
  }

  private void requestListIfNeeded(boolean shouldList) {
    if (shouldList) {
      listRequests.release();
    }
  }

  /** Waits for a request to list the store immediately; returns false on timeout. */
  public boolean awaitListRequest(long timeoutMs) throws InterruptedException {
    boolean requested = listRequests.tryAcquire(timeoutMs, TimeUnit.MILLISECONDS);
    listRequests.drainPermits();
    return requested;
  }

  /** Executes the actions that are due; call on the control loop. */
  public void tick(long nowNs) {
    apply(core.tick(nowNs));
  }

  private boolean apply(List<ConfigAction> actions) {
    if (actions.isEmpty()) {
      return false;
    }
    boolean shouldList = false;
    for (ConfigAction action : actions) {
      switch (action) {
        case ConfigAction.Send send -> listener.send(send.to(), send.message());
        case ConfigAction.Broadcast broadcast -> listener.broadcast(broadcast.message());
        case ConfigAction.Publish publish -> {
          snapshot.set(publish.snapshot());
          listener.onConfigInForce(publish.snapshot());
        }
        case ConfigAction.Relist _ -> shouldList = true;
        case ConfigAction.Report report -> log(report.event());
      }
    }
    status.set(core.status()); // Last, so that the status never reports what is not yet in force.
    return shouldList;
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
      case ConfigEvent.StoreReturned returned ->
          LOG.warnf(
              "config: store \"%s\" has come back from a copy, revision %d; lost writes after %d stay"
                  + " in force",
              returned.storeId(),
              StoreRevision.number(returned.revision()),
              StoreRevision.number(returned.lost().after()));
      case ConfigEvent.StoreRestored restored ->
          LOG.infof("config: store \"%s\" is no longer refused", restored.storeId());
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
              "config: gateway \"%s\" has the configuration of another store \"%s\" in force",
              disagrees.peer(), disagrees.storeId());
    }
  }
}
