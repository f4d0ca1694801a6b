package org.cowslipstair.logic.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.cowslipstair.model.config.ConfigVersion;
import org.cowslipstair.model.config.StoredObject;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.peer.ConfigMessage.ConfigObjects;
import org.cowslipstair.model.peer.ConfigMessage.ConfigRequest;

/**
 * Requests newer configuration from peers, responds to their requests, and reassembles responses
 * that were split into several messages.
 */
final class PeerExchange {
  private static final long CHECK_INTERVAL_NS = TimeUnit.MILLISECONDS.toNanos(20);

  private final ConfigSettings settings;
  private final Map<GatewayName, ConfigVersion> peerVersions = new TreeMap<>();
  private final Map<GatewayName, SortedMap<Integer, ConfigObjects>> pendingParts = new TreeMap<>();
  private final List<GatewayName> reportedDisagreements = new ArrayList<>();
  private Optional<GatewayName> lastRequestedPeer = Optional.empty();
  private long behindSinceNs = Long.MAX_VALUE;
  private long nextCheckNs = Long.MIN_VALUE;
  private long nextRequestNs = Long.MIN_VALUE;
  private long nextCompareNs = Long.MIN_VALUE;

  PeerExchange(ConfigSettings settings) {
    this.settings = settings;
  }

  void onPeerVersion(GatewayName peer, ConfigVersion version) {
    if (!version.equals(peerVersions.put(peer, version))) {
      nextCheckNs = Long.MIN_VALUE;
    }
  }

  void onPeerDisconnected(GatewayName peer) {
    peerVersions.remove(peer);
    pendingParts.remove(peer);
    reportedDisagreements.remove(peer);
  }

  /** Adds one part of a response; returns the batch once all of its parts have arrived. */
  Optional<ConfigBatch> onObjects(GatewayName from, ConfigObjects message) {
    SortedMap<Integer, ConfigObjects> parts =
        pendingParts.computeIfAbsent(from, _ -> new TreeMap<>());
    if (!parts.isEmpty() && !isSameResponse(parts.firstEntry().getValue(), message)) {
      parts.clear();
    }
    parts.put(message.part(), message);
    if (parts.size() < message.parts()) {
      return Optional.empty();
    }
    pendingParts.remove(from);
    List<StoredObject> objects = new ArrayList<>();
    parts.values().forEach(part -> objects.addAll(part.objects()));
    return Optional.of(
        new ConfigBatch(
            message.storeId(),
            message.afterRevision(),
            message.revision(),
            message.lost(),
            objects));
  }

  private static boolean isSameResponse(ConfigObjects one, ConfigObjects other) {
    return one.parts() == other.parts()
        && one.revision() == other.revision()
        && one.afterRevision() == other.afterRevision()
        && one.storeTerm() == other.storeTerm()
        && one.storeId().equals(other.storeId());
  }

  /** Returns the messages that respond to a request. */
  List<ConfigObjects> respond(ConfigRequest request, ObjectTable table) {
    boolean isFull =
        request.afterRevision() <= 0 || !table.hasAllTombstonesAfter(request.afterRevision());
    long afterRevision = isFull ? 0 : request.afterRevision();
    List<StoredObject> objects = isFull ? table.fullList() : table.writtenAfter(afterRevision);
    List<List<StoredObject>> parts = split(objects);
    List<ConfigObjects> messages = new ArrayList<>();
    for (List<StoredObject> part : parts) {
      messages.add(
          new ConfigObjects(
              request.storeId(),
              request.storeTerm(),
              afterRevision,
              table.revision(),
              messages.size(),
              parts.size(),
              table.lost(),
              part));
    }
    return messages;
  }

  private List<List<StoredObject>> split(List<StoredObject> objects) {
    List<List<StoredObject>> parts = new ArrayList<>();
    List<StoredObject> part = new ArrayList<>();
    long partBytes = 0;
    for (StoredObject object : objects) {
      if (!part.isEmpty() && partBytes + object.json().length() > settings.maxPartBytes()) {
        parts.add(part);
        part = new ArrayList<>();
        partBytes = 0;
      }
      part.add(object);
      partBytes += object.json().length();
    }
    parts.add(part);
    return parts;
  }

  /**
   * Returns a request to a peer whose configuration is newer or different, or a report of a peer
   * that has another store in force; empty if neither is due.
   */
  Optional<ConfigAction> nextAction(
      ConfigVersion inForce, Predicate<StoreEpoch> canAdopt, long nowNs) {
    if (nowNs < nextCheckNs) {
      return Optional.empty();
    }
    nextCheckNs = nowNs + CHECK_INTERVAL_NS;
    Optional<ConfigAction> report = reportDisagreement(inForce, canAdopt);
    if (report.isPresent() || nowNs < nextRequestNs) {
      return report;
    }
    List<GatewayName> candidates = peersAhead(inForce, canAdopt);
    if (candidates.isEmpty()) {
      behindSinceNs = Long.MAX_VALUE;
      return requestFromDifferingPeer(inForce, nowNs);
    }
    behindSinceNs = Math.min(behindSinceNs, nowNs);
    if (nowNs < behindSinceNs + settings.requestDelayNs() && !inForce.isNone()) {
      return Optional.empty();
    }
    nextRequestNs = nowNs + settings.requestIntervalNs();
    GatewayName peer = pickNext(candidates);
    ConfigVersion peerVersion = peerVersions.get(peer);
    long after = peerVersion.isSameStoreAndTerm(inForce) ? inForce.revision() : 0;
    return Optional.of(request(peer, peerVersion, after));
  }

  private Optional<ConfigAction> requestFromDifferingPeer(ConfigVersion inForce, long nowNs) {
    if (inForce.isNone() || nowNs < nextCompareNs) {
      return Optional.empty();
    }
    List<GatewayName> differing = new ArrayList<>();
    peerVersions.forEach(
        (peer, peerVersion) -> {
          if (peerVersion.isSameStoreAndTerm(inForce) && mayDiffer(peerVersion, inForce)) {
            differing.add(peer);
          }
        });
    if (differing.isEmpty()) {
      return Optional.empty();
    }
    nextCompareNs = nowNs + settings.compareIntervalNs();
    GatewayName peer = pickNext(differing);
    ConfigVersion peerVersion = peerVersions.get(peer);
    boolean isLater = peerVersion.revision() > inForce.revision();
    return Optional.of(request(peer, peerVersion, isLater ? inForce.revision() : 0));
  }

  /** Returns whether a peer has a later revision, or other objects at the same one. */
  private static boolean mayDiffer(ConfigVersion peerVersion, ConfigVersion inForce) {
    return peerVersion.revision() > inForce.revision()
        || peerVersion.revision() == inForce.revision() && peerVersion.digest() != inForce.digest();
  }

  private static ConfigAction request(GatewayName peer, ConfigVersion peerVersion, long after) {
    return new ConfigAction.Send(
        peer, new ConfigRequest(peerVersion.storeId(), peerVersion.storeTerm(), after));
  }

  private List<GatewayName> peersAhead(ConfigVersion inForce, Predicate<StoreEpoch> canAdopt) {
    List<GatewayName> candidates = new ArrayList<>();
    peerVersions.forEach(
        (peer, peerVersion) -> {
          if (isAhead(peerVersion, inForce, canAdopt)) {
            candidates.add(peer);
          }
        });
    return candidates;
  }

  private static boolean isAhead(
      ConfigVersion peerVersion, ConfigVersion inForce, Predicate<StoreEpoch> canAdopt) {
    if (peerVersion.isNone()) {
      return false;
    }
    if (!inForce.isNone() && peerVersion.isSameStoreAndTerm(inForce)) {
      return peerVersion.revision() > inForce.revision()
          && peerVersion.digest() != inForce.digest();
    }
    return canAdopt.test(StoreEpoch.of(peerVersion));
  }

  private GatewayName pickNext(List<GatewayName> candidates) {
    GatewayName next = candidates.getFirst();
    for (GatewayName peer : candidates) {
      if (lastRequestedPeer.isPresent() && peer.compareTo(lastRequestedPeer.get()) > 0) {
        next = peer;
        break;
      }
    }
    lastRequestedPeer = Optional.of(next);
    return next;
  }

  private Optional<ConfigAction> reportDisagreement(
      ConfigVersion inForce, Predicate<StoreEpoch> canAdopt) {
    if (inForce.isNone()) {
      return Optional.empty();
    }
    for (Map.Entry<GatewayName, ConfigVersion> entry : peerVersions.entrySet()) {
      ConfigVersion peerVersion = entry.getValue();
      boolean hasDifferentStore = !peerVersion.isNone() && !peerVersion.isSameStoreAndTerm(inForce);
      boolean isInitialTerm =
          peerVersion.storeTerm() == inForce.storeTerm() && peerVersion.storeTerm() == 0;
      if (!hasDifferentStore) {
        reportedDisagreements.remove(entry.getKey());
      } else if (isInitialTerm
          && !canAdopt.test(StoreEpoch.of(peerVersion))
          && !reportedDisagreements.contains(entry.getKey())) {
        reportedDisagreements.add(entry.getKey());
        return Optional.of(
            new ConfigAction.Report(
                new ConfigEvent.PeerDisagrees(entry.getKey(), peerVersion.storeId())));
      }
    }
    return Optional.empty();
  }
}
