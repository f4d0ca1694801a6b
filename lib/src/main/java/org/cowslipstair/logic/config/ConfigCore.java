package org.cowslipstair.logic.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cowslipstair.logic.config.RefusedStore.Reason;
import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.model.config.ConfigSnapshot;
import org.cowslipstair.model.config.ConfigVersion;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.StoreId;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.peer.ConfigMessage;
import org.cowslipstair.model.peer.ConfigMessage.AcceptStore;
import org.cowslipstair.model.peer.ConfigMessage.ConfigObjects;
import org.cowslipstair.model.peer.ConfigMessage.ConfigRequest;

/**
 * Decides which configuration one gateway has in force, based on batches from the store and from
 * peers. Within one store and term, revisions and versions never decrease; a store that comes back
 * from a copy and tells so begins a later epoch of revisions. Another store, or an older state of
 * the same store that does not tell, comes into force only in a later term, which an operator
 * starts. Not thread-safe.
 */
public final class ConfigCore {
  private final ConfigSettings settings;
  private final ObjectReader reader;
  private final InvariantMonitor monitor;
  private final PeerExchange peerExchange;
  private final List<ConfigAction> actions = new ArrayList<>();

  private ObjectTable table;
  private Optional<StoreEpoch> epoch = Optional.empty();
  private Optional<StoreEpoch> acceptedEpoch = Optional.empty();
  private Optional<RefusedStore> refusedStore = Optional.empty();
  private ConfigVersion inForce = ConfigVersion.none();
  private Map<ObjectKey, Long> versionsInForce = Map.of();
  private boolean isStoreConfirmed;
  private long adoptionEndNs;

  /** Creates a core without configuration. */
  public ConfigCore(ConfigSettings settings, ObjectReader reader, InvariantMonitor monitor) {
    this.settings = settings;
    this.reader = reader;
    this.monitor = monitor;
    this.peerExchange = new PeerExchange(settings);
    this.table = newTable();
  }

  private ObjectTable newTable() {
    return new ObjectTable(reader, event -> actions.add(new ConfigAction.Report(event)));
  }

  /** Returns the version in force; {@link ConfigVersion#none} before the first one. */
  public ConfigVersion inForce() {
    return inForce;
  }

  /** Returns the status to show to operators. */
  public ConfigStatus status() {
    return new ConfigStatus(
        inForce, refusedStore, acceptedEpoch.map(StoreEpoch::storeId), table.invalidObjects());
  }

  /**
   * Processes the result of a list or of a watch.
   *
   * @param versionAtRequest version in force when the store was called
   */
  public List<ConfigAction> onStoreBatch(
      ConfigBatch batch, ConfigVersion versionAtRequest, long nowNs) {
    boolean isAccepted = acceptedEpoch.filter(a -> a.storeId().equals(batch.storeId())).isPresent();
    if (isAccepted && batch.isFull()) {
      switchTo(acceptedEpoch.get(), batch);
      isStoreConfirmed = true;
    } else if (epoch.isEmpty()) {
      applyFirstBatch(batch, nowNs);
    } else if (versionAtRequest.isNone() || versionAtRequest.isSameStoreAndTerm(inForce)) {
      applyNextBatch(batch, versionAtRequest.isNone() ? 0 : versionAtRequest.revision());
    }
    return drainActions();
  }

  private void applyFirstBatch(ConfigBatch batch, long nowNs) {
    if (!batch.isFull()) {
      actions.add(new ConfigAction.Relist());
      return;
    }
    adoptionEndNs = nowNs + settings.adoptionWindowNs();
    switchTo(new StoreEpoch(batch.storeId(), 0), batch);
  }

  private void applyNextBatch(ConfigBatch batch, long revisionAtRequest) {
    Optional<Reason> reason = refusalReason(batch, revisionAtRequest);
    if (reason.isPresent()) {
      refuse(new RefusedStore(batch.storeId(), batch.revision(), reason.get()));
      return;
    }
    if (refusedStore.isPresent() && !batch.isFull()) {
      actions.add(new ConfigAction.Relist());
      return;
    }
    refusedStore.ifPresent(
        _ -> actions.add(new ConfigAction.Report(new ConfigEvent.StoreRestored(batch.storeId()))));
    refusedStore = Optional.empty();
    merge(batch);
  }

  private Optional<Reason> refusalReason(ConfigBatch batch, long revisionAtRequest) {
    if (!batch.storeId().equals(inForce.storeId())) {
      return Optional.of(Reason.OTHER_IDENTITY);
    }
    if (batch.revision() < revisionAtRequest) {
      return Optional.of(Reason.OLDER_REVISION);
    }
    recordLost(batch);
    boolean isComparable = batch.isFull() && batch.revision() >= table.revision();
    if (isComparable && !table.isConsistentWith(batch.objects())) {
      return Optional.of(Reason.OTHER_HISTORY);
    }
    return Optional.empty();
  }

  private void recordLost(ConfigBatch batch) {
    table
        .recordLost(batch.lost())
        .map(lost -> new ConfigEvent.StoreReturned(batch.storeId(), batch.revision(), lost))
        .ifPresent(event -> actions.add(new ConfigAction.Report(event)));
  }

  private void refuse(RefusedStore store) {
    boolean isNew =
        refusedStore
            .filter(r -> r.storeId().equals(store.storeId()) && r.reason() == store.reason())
            .isEmpty();
    refusedStore = Optional.of(store);
    actions.add(new ConfigAction.Relist());
    if (isNew) {
      actions.add(new ConfigAction.Report(new ConfigEvent.StoreRefused(store)));
    }
  }

  private void merge(ConfigBatch batch) {
    boolean hasChanged = false;
    for (var object : batch.objects()) {
      hasChanged |= table.merge(object);
    }
    boolean hasNoGap = batch.afterRevision() <= table.revision();
    if (hasNoGap && batch.revision() > table.revision()) {
      if (batch.isFull()) {
        table.removeUnlisted(batch.objects(), batch.revision());
      }
      table.advanceRevision(batch.revision());
      hasChanged = true;
    }
    if (hasChanged) {
      publish();
    }
  }

  private void switchTo(StoreEpoch newEpoch, ConfigBatch batch) {
    boolean isReplacement = epoch.isPresent();
    table = newTable();
    table.recordLost(batch.lost());
    batch.objects().forEach(table::merge);
    table.removeUnlisted(batch.objects(), batch.revision());
    table.advanceRevision(batch.revision());
    epoch = Optional.of(newEpoch);
    acceptedEpoch = acceptedEpoch.filter(a -> a.supersedes(newEpoch));
    refusedStore = Optional.empty();
    versionsInForce = Map.of();
    inForce = ConfigVersion.none();
    if (isReplacement) {
      actions.add(
          new ConfigAction.Report(
              new ConfigEvent.StoreReplaced(
                  newEpoch.storeId(), newEpoch.term(), batch.revision())));
    }
    publish();
  }

  private void publish() {
    StoreEpoch current = epoch.orElseThrow();
    monitor.checkAtMost(
        Invariant.VERSION_NEVER_FALLS, "revision", inForce.revision(), table.revision());
    Map<ObjectKey, Long> versions = table.versionsInForce();
    versionsInForce.forEach(
        (key, oldVersion) ->
            monitor.checkAtMost(
                Invariant.VERSION_NEVER_FALLS,
                key.toString(),
                oldVersion,
                versions.getOrDefault(key, Long.MAX_VALUE)));
    versionsInForce = versions;
    inForce =
        new ConfigVersion(current.storeId(), current.term(), table.revision(), table.digest());
    actions.add(new ConfigAction.Publish(ConfigSnapshot.of(table.revision(), table.inForce())));
  }

  /** Processes the version that a peer reported in a heartbeat. */
  public List<ConfigAction> onPeerVersion(GatewayName peer, ConfigVersion version, long nowNs) {
    peerExchange.onPeerVersion(peer, version);
    isStoreConfirmed |= !inForce.isNone() && version.isSameStoreAndTerm(inForce);
    return tick(nowNs);
  }

  /** Removes the state of a peer that disconnected. */
  public void onPeerDisconnected(GatewayName peer) {
    peerExchange.onPeerDisconnected(peer);
  }

  /** Processes a message from a peer. */
  public List<ConfigAction> onMessage(GatewayName from, ConfigMessage message, long nowNs) {
    switch (message) {
      case ConfigRequest request -> respond(from, request);
      case ConfigObjects objects ->
          peerExchange
              .onObjects(from, objects)
              .ifPresent(batch -> applyPeerBatch(objects, batch, nowNs));
      case AcceptStore accept -> awaitStore(new StoreEpoch(accept.storeId(), accept.storeTerm()));
    }
    return drainActions();
  }

  private void respond(GatewayName from, ConfigRequest request) {
    StoreEpoch requestedEpoch = new StoreEpoch(request.storeId(), request.storeTerm());
    if (epoch.filter(requestedEpoch::equals).isEmpty()) {
      return;
    }
    peerExchange
        .respond(request, table)
        .forEach(part -> actions.add(new ConfigAction.Send(from, part)));
  }

  private void applyPeerBatch(ConfigObjects message, ConfigBatch batch, long nowNs) {
    StoreEpoch peerEpoch = new StoreEpoch(message.storeId(), message.storeTerm());
    if (epoch.filter(peerEpoch::equals).isPresent()) {
      recordLost(batch);
      // A store that tells its returns gives no revision out twice, so histories cannot mix.
      boolean isComparable =
          batch.isFull() && batch.revision() >= table.revision() && table.lost().isEmpty();
      if (!isComparable || table.isConsistentWith(batch.objects())) {
        merge(batch);
      }
      return;
    }
    if (batch.isFull() && canAdopt(peerEpoch, nowNs)) {
      isStoreConfirmed = true;
      switchTo(peerEpoch, batch);
    }
  }

  private boolean canAdopt(StoreEpoch peerEpoch, long nowNs) {
    if (epoch.isEmpty() || peerEpoch.supersedes(epoch.get())) {
      return true;
    }
    boolean isInAdoptionWindow = !isStoreConfirmed && nowNs < adoptionEndNs;
    return isInAdoptionWindow && peerEpoch.term() == epoch.get().term();
  }

  /**
   * Accepts the current state of a store on an operator's command. Idempotent: has no effect if
   * that state is already in force or awaited, so the command may be sent to several gateways.
   */
  public List<ConfigAction> acceptStore(StoreId storeId) {
    boolean isInForce = storeId.equals(inForce.storeId()) && refusedStore.isEmpty();
    boolean isAwaited = acceptedEpoch.filter(a -> a.storeId().equals(storeId)).isPresent();
    if (isInForce || isAwaited) {
      return drainActions();
    }
    long term = 1 + epoch.map(StoreEpoch::term).orElse(0L);
    term = Math.max(term, 1 + acceptedEpoch.map(StoreEpoch::term).orElse(0L));
    awaitStore(new StoreEpoch(storeId, term));
    actions.add(new ConfigAction.Broadcast(new AcceptStore(storeId, term)));
    return drainActions();
  }

  private void awaitStore(StoreEpoch store) {
    boolean supersedesInForce = epoch.isEmpty() || store.supersedes(epoch.get());
    boolean supersedesAccepted = acceptedEpoch.isEmpty() || store.supersedes(acceptedEpoch.get());
    if (supersedesInForce && supersedesAccepted) {
      acceptedEpoch = Optional.of(store);
      actions.add(
          new ConfigAction.Report(new ConfigEvent.StoreAccepted(store.storeId(), store.term())));
      actions.add(new ConfigAction.Relist());
    }
  }

  /** Requests newer objects from a peer if this gateway is behind; call periodically. */
  public List<ConfigAction> tick(long nowNs) {
    peerExchange
        .nextAction(inForce, peerEpoch -> canAdopt(peerEpoch, nowNs), nowNs)
        .ifPresent(actions::add);
    return drainActions();
  }

  private List<ConfigAction> drainActions() {
    if (actions.isEmpty()) {
      return List.of();
    }
    List<ConfigAction> drained = List.copyOf(actions);
    actions.clear();
    return drained;
  }
}
