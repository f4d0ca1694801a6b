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
 * Decides which configuration one gateway has in force, from batches of the store and of peers.
 * Within one store and term revisions and versions only rise; another store, or an older state of
 * the same one, comes into force only in a later term, which an operator begins. Driven by one
 * thread.
 */
public final class ConfigCore {
  private final ConfigSettings settings;
  private final ObjectReader reader;
  private final InvariantMonitor monitor;
  private final PeerExchange exchange;
  private final List<ConfigAction> actions = new ArrayList<>();

  private ObjectTable table;
  private Optional<StoreLife> life = Optional.empty();
  private Optional<StoreLife> accepted = Optional.empty();
  private Optional<RefusedStore> refused = Optional.empty();
  private ConfigVersion inForce = ConfigVersion.none();
  private Map<ObjectKey, Long> versionsInForce = Map.of();
  private boolean settled;
  private long settleAtNs;

  /** Creates a core without configuration. */
  public ConfigCore(ConfigSettings settings, ObjectReader reader, InvariantMonitor monitor) {
    this.settings = settings;
    this.reader = reader;
    this.monitor = monitor;
    this.exchange = new PeerExchange(settings);
    this.table = newTable();
  }

  private ObjectTable newTable() {
    return new ObjectTable(reader, event -> actions.add(new ConfigAction.Report(event)));
  }

  /** Returns what is in force. */
  public ConfigVersion inForce() {
    return inForce;
  }

  /** Returns the state for operators. */
  public ConfigStatus status() {
    return new ConfigStatus(
        inForce, refused, accepted.map(StoreLife::storeId), table.invalidObjects());
  }

  /**
   * Takes a list or a batch of the watch.
   *
   * @param askedAt what was in force when the store was asked
   */
  public List<ConfigAction> onStoreBatch(ConfigBatch batch, ConfigVersion askedAt, long nowNs) {
    boolean isAccepted = accepted.filter(a -> a.storeId().equals(batch.storeId())).isPresent();
    if (isAccepted && batch.isWhole()) {
      replace(accepted.get(), batch);
      settled = true;
    } else if (life.isEmpty()) {
      takeFirst(batch, nowNs);
    } else if (askedAt.isNone() || askedAt.sameStore(inForce)) {
      takeNext(batch, askedAt.isNone() ? 0 : askedAt.revision());
    }
    return takeActions();
  }

  private void takeFirst(ConfigBatch batch, long nowNs) {
    if (!batch.isWhole()) {
      actions.add(new ConfigAction.ListAgain());
      return;
    }
    settleAtNs = nowNs + settings.settleNs();
    replace(new StoreLife(batch.storeId(), 0), batch);
  }

  private void takeNext(ConfigBatch batch, long askedAtRevision) {
    Optional<Reason> reason = reasonToRefuse(batch, askedAtRevision);
    if (reason.isPresent()) {
      refuse(new RefusedStore(batch.storeId(), batch.revision(), reason.get()));
      return;
    }
    if (refused.isPresent() && !batch.isWhole()) {
      actions.add(new ConfigAction.ListAgain());
      return;
    }
    refused.ifPresent(
        _ -> actions.add(new ConfigAction.Report(new ConfigEvent.StoreRestored(batch.storeId()))));
    refused = Optional.empty();
    merge(batch);
  }

  private Optional<Reason> reasonToRefuse(ConfigBatch batch, long askedAtRevision) {
    if (!batch.storeId().equals(inForce.storeId())) {
      return Optional.of(Reason.OTHER_IDENTITY);
    }
    if (batch.revision() < askedAtRevision) {
      return Optional.of(Reason.OLDER_REVISION);
    }
    boolean comparable = batch.isWhole() && batch.revision() >= table.revision();
    if (comparable && !table.agreesWith(batch.objects())) {
      return Optional.of(Reason.OTHER_HISTORY);
    }
    return Optional.empty();
  }

  private void refuse(RefusedStore store) {
    boolean isNew =
        refused
            .filter(r -> r.storeId().equals(store.storeId()) && r.reason() == store.reason())
            .isEmpty();
    refused = Optional.of(store);
    actions.add(new ConfigAction.ListAgain());
    if (isNew) {
      actions.add(new ConfigAction.Report(new ConfigEvent.StoreRefused(store)));
    }
  }

  private void merge(ConfigBatch batch) {
    boolean changed = false;
    for (var object : batch.objects()) {
      changed |= table.offer(object);
    }
    boolean complete = batch.afterRevision() <= table.revision();
    if (complete && batch.revision() > table.revision()) {
      if (batch.isWhole()) {
        table.retainListed(batch.objects(), batch.revision());
      }
      table.completeUpTo(batch.revision());
      changed = true;
    }
    if (changed) {
      publish();
    }
  }

  private void replace(StoreLife newLife, ConfigBatch batch) {
    boolean isReplacement = life.isPresent();
    table = newTable();
    batch.objects().forEach(table::offer);
    table.retainListed(batch.objects(), batch.revision());
    table.completeUpTo(batch.revision());
    life = Optional.of(newLife);
    accepted = accepted.filter(a -> a.supersedes(newLife));
    refused = Optional.empty();
    versionsInForce = Map.of();
    inForce = ConfigVersion.none();
    if (isReplacement) {
      actions.add(
          new ConfigAction.Report(
              new ConfigEvent.StoreReplaced(newLife.storeId(), newLife.term(), batch.revision())));
    }
    publish();
  }

  private void publish() {
    StoreLife current = life.orElseThrow();
    monitor.checkAtMost(
        Invariant.VERSION_NEVER_FALLS, "revision", inForce.revision(), table.revision());
    Map<ObjectKey, Long> versions = table.versionsInForce();
    versionsInForce.forEach(
        (key, old) ->
            monitor.checkAtMost(
                Invariant.VERSION_NEVER_FALLS,
                key.toString(),
                old,
                versions.getOrDefault(key, Long.MAX_VALUE)));
    versionsInForce = versions;
    inForce =
        new ConfigVersion(current.storeId(), current.term(), table.revision(), table.digest());
    actions.add(new ConfigAction.Publish(ConfigSnapshot.of(table.revision(), table.inForce())));
  }

  /** Takes the version that a peer has in force, from its heartbeat. */
  public List<ConfigAction> onPeerVersion(GatewayName peer, ConfigVersion version, long nowNs) {
    exchange.onPeerVersion(peer, version);
    settled |= !inForce.isNone() && version.sameStore(inForce);
    return tick(nowNs);
  }

  /** Forgets a peer. */
  public void onPeerGone(GatewayName peer) {
    exchange.onPeerGone(peer);
  }

  /** Takes a message of a peer. */
  public List<ConfigAction> onMessage(GatewayName from, ConfigMessage message, long nowNs) {
    switch (message) {
      case ConfigRequest request -> answer(from, request);
      case ConfigObjects objects ->
          exchange.onObjects(from, objects).ifPresent(batch -> takePeers(objects, batch, nowNs));
      case AcceptStore accept -> await(new StoreLife(accept.storeId(), accept.storeTerm()));
    }
    return takeActions();
  }

  private void answer(GatewayName from, ConfigRequest request) {
    StoreLife asked = new StoreLife(request.storeId(), request.storeTerm());
    if (life.filter(asked::equals).isEmpty()) {
      return;
    }
    exchange.answer(request, table).forEach(part -> actions.add(new ConfigAction.Send(from, part)));
  }

  private void takePeers(ConfigObjects message, ConfigBatch batch, long nowNs) {
    StoreLife theirs = new StoreLife(message.storeId(), message.storeTerm());
    if (life.filter(theirs::equals).isPresent()) {
      boolean whole = batch.isWhole() && batch.revision() >= table.revision();
      if (!whole || table.agreesWith(batch.objects())) {
        merge(batch);
      }
      return;
    }
    if (batch.isWhole() && mayAdopt(theirs, nowNs)) {
      settled = true;
      replace(theirs, batch);
    }
  }

  private boolean mayAdopt(StoreLife theirs, long nowNs) {
    if (life.isEmpty() || theirs.supersedes(life.get())) {
      return true;
    }
    boolean isNewGateway = !settled && nowNs < settleAtNs;
    return isNewGateway && theirs.term() == life.get().term();
  }

  /**
   * Accepts the present state of a store at an operator's command. Has no effect when that state is
   * in force or awaited already, so that the command may be given to many gateways.
   */
  public List<ConfigAction> acceptStore(StoreId storeId) {
    boolean isInForce = storeId.equals(inForce.storeId()) && refused.isEmpty();
    boolean isAwaited = accepted.filter(a -> a.storeId().equals(storeId)).isPresent();
    if (isInForce || isAwaited) {
      return takeActions();
    }
    long term = 1 + life.map(StoreLife::term).orElse(0L);
    term = Math.max(term, 1 + accepted.map(StoreLife::term).orElse(0L));
    await(new StoreLife(storeId, term));
    actions.add(new ConfigAction.Broadcast(new AcceptStore(storeId, term)));
    return takeActions();
  }

  private void await(StoreLife store) {
    boolean supersedesInForce = life.isEmpty() || store.supersedes(life.get());
    boolean supersedesAccepted = accepted.isEmpty() || store.supersedes(accepted.get());
    if (supersedesInForce && supersedesAccepted) {
      accepted = Optional.of(store);
      actions.add(
          new ConfigAction.Report(new ConfigEvent.StoreAccepted(store.storeId(), store.term())));
      actions.add(new ConfigAction.ListAgain());
    }
  }

  /** Asks a peer for newer objects when this gateway has fallen behind. */
  public List<ConfigAction> tick(long nowNs) {
    exchange.nextRequest(inForce, theirs -> mayAdopt(theirs, nowNs), nowNs).ifPresent(actions::add);
    return takeActions();
  }

  private List<ConfigAction> takeActions() {
    if (actions.isEmpty()) {
      return List.of();
    }
    List<ConfigAction> taken = List.copyOf(actions);
    actions.clear();
    return taken;
  }
}
