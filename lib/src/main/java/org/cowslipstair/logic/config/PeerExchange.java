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

/** Asks peers for newer configuration, answers their requests, and joins the parts of answers. */
final class PeerExchange {
  private static final long CHECK_INTERVAL_NS = TimeUnit.MILLISECONDS.toNanos(20);

  private final ConfigSettings settings;
  private final Map<GatewayName, ConfigVersion> versions = new TreeMap<>();
  private final Map<GatewayName, SortedMap<Integer, ConfigObjects>> partial = new TreeMap<>();
  private final List<GatewayName> disagreeing = new ArrayList<>();
  private Optional<GatewayName> lastAsked = Optional.empty();
  private long behindSinceNs = Long.MAX_VALUE;
  private long nextCheckNs = Long.MIN_VALUE;
  private long nextRequestNs = Long.MIN_VALUE;
  private long nextCompareNs = Long.MIN_VALUE;

  PeerExchange(ConfigSettings settings) {
    this.settings = settings;
  }

  void onPeerVersion(GatewayName peer, ConfigVersion version) {
    if (!version.equals(versions.put(peer, version))) {
      nextCheckNs = Long.MIN_VALUE;
    }
  }

  void onPeerGone(GatewayName peer) {
    versions.remove(peer);
    partial.remove(peer);
    disagreeing.remove(peer);
  }

  /** Collects a part; returns the batch once all parts of it arrived. */
  Optional<ConfigBatch> onObjects(GatewayName from, ConfigObjects message) {
    SortedMap<Integer, ConfigObjects> parts = partial.computeIfAbsent(from, _ -> new TreeMap<>());
    if (!parts.isEmpty() && !isSameAnswer(parts.firstEntry().getValue(), message)) {
      parts.clear();
    }
    parts.put(message.part(), message);
    if (parts.size() < message.parts()) {
      return Optional.empty();
    }
    partial.remove(from);
    List<StoredObject> objects = new ArrayList<>();
    parts.values().forEach(part -> objects.addAll(part.objects()));
    return Optional.of(
        new ConfigBatch(message.storeId(), message.afterRevision(), message.revision(), objects));
  }

  private static boolean isSameAnswer(ConfigObjects one, ConfigObjects other) {
    return one.parts() == other.parts()
        && one.revision() == other.revision()
        && one.afterRevision() == other.afterRevision()
        && one.storeTerm() == other.storeTerm()
        && one.storeId().equals(other.storeId());
  }

  /** Returns the messages that answer a request. */
  List<ConfigObjects> answer(ConfigRequest request, ObjectTable table) {
    boolean whole =
        request.afterRevision() <= 0 || !table.knowsDeletionsAfter(request.afterRevision());
    long afterRevision = whole ? 0 : request.afterRevision();
    List<StoredObject> objects = whole ? table.whole() : table.writtenAfter(afterRevision);
    List<List<StoredObject>> parts = split(objects);
    List<ConfigObjects> answer = new ArrayList<>();
    for (List<StoredObject> part : parts) {
      answer.add(
          new ConfigObjects(
              request.storeId(),
              request.storeTerm(),
              afterRevision,
              table.revision(),
              answer.size(),
              parts.size(),
              part));
    }
    return answer;
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

  /** Returns a request or a report if some peer has configuration that this gateway misses. */
  Optional<ConfigAction> nextRequest(
      ConfigVersion inForce, Predicate<StoreLife> mayAdopt, long nowNs) {
    if (nowNs < nextCheckNs) {
      return Optional.empty();
    }
    nextCheckNs = nowNs + CHECK_INTERVAL_NS;
    Optional<ConfigAction> report = reportDisagreement(inForce, mayAdopt);
    if (report.isPresent() || nowNs < nextRequestNs) {
      return report;
    }
    List<GatewayName> ahead = peersAhead(inForce, mayAdopt);
    if (ahead.isEmpty()) {
      behindSinceNs = Long.MAX_VALUE;
      return compare(inForce, nowNs);
    }
    behindSinceNs = Math.min(behindSinceNs, nowNs);
    if (nowNs < behindSinceNs + settings.requestDelayNs() && !inForce.isNone()) {
      return Optional.empty();
    }
    nextRequestNs = nowNs + settings.requestIntervalNs();
    GatewayName peer = pick(ahead);
    ConfigVersion theirs = versions.get(peer);
    long after = theirs.sameStore(inForce) ? inForce.revision() : 0;
    return Optional.of(request(peer, theirs, after));
  }

  private Optional<ConfigAction> compare(ConfigVersion inForce, long nowNs) {
    if (inForce.isNone() || nowNs < nextCompareNs) {
      return Optional.empty();
    }
    List<GatewayName> differing = new ArrayList<>();
    versions.forEach(
        (peer, theirs) -> {
          if (theirs.sameStore(inForce) && differs(theirs, inForce)) {
            differing.add(peer);
          }
        });
    if (differing.isEmpty()) {
      return Optional.empty();
    }
    nextCompareNs = nowNs + settings.compareIntervalNs();
    GatewayName peer = pick(differing);
    ConfigVersion theirs = versions.get(peer);
    boolean isLater = theirs.revision() > inForce.revision();
    return Optional.of(request(peer, theirs, isLater ? inForce.revision() : 0));
  }

  /** Returns whether a peer has a later revision, or other objects at the same one. */
  private static boolean differs(ConfigVersion theirs, ConfigVersion inForce) {
    return theirs.revision() > inForce.revision()
        || theirs.revision() == inForce.revision() && theirs.digest() != inForce.digest();
  }

  private static ConfigAction request(GatewayName peer, ConfigVersion theirs, long after) {
    return new ConfigAction.Send(
        peer, new ConfigRequest(theirs.storeId(), theirs.storeTerm(), after));
  }

  private List<GatewayName> peersAhead(ConfigVersion inForce, Predicate<StoreLife> mayAdopt) {
    List<GatewayName> ahead = new ArrayList<>();
    versions.forEach(
        (peer, theirs) -> {
          if (isAhead(theirs, inForce, mayAdopt)) {
            ahead.add(peer);
          }
        });
    return ahead;
  }

  private static boolean isAhead(
      ConfigVersion theirs, ConfigVersion inForce, Predicate<StoreLife> mayAdopt) {
    if (theirs.isNone()) {
      return false;
    }
    if (!inForce.isNone() && theirs.sameStore(inForce)) {
      return theirs.revision() > inForce.revision() && theirs.digest() != inForce.digest();
    }
    return mayAdopt.test(StoreLife.of(theirs));
  }

  private GatewayName pick(List<GatewayName> ahead) {
    GatewayName chosen = ahead.getFirst();
    for (GatewayName peer : ahead) {
      if (lastAsked.isPresent() && peer.compareTo(lastAsked.get()) > 0) {
        chosen = peer;
        break;
      }
    }
    lastAsked = Optional.of(chosen);
    return chosen;
  }

  private Optional<ConfigAction> reportDisagreement(
      ConfigVersion inForce, Predicate<StoreLife> mayAdopt) {
    if (inForce.isNone()) {
      return Optional.empty();
    }
    for (Map.Entry<GatewayName, ConfigVersion> entry : versions.entrySet()) {
      ConfigVersion theirs = entry.getValue();
      boolean differs = !theirs.isNone() && !theirs.sameStore(inForce);
      boolean sameTerm = theirs.storeTerm() == inForce.storeTerm() && theirs.storeTerm() == 0;
      if (!differs) {
        disagreeing.remove(entry.getKey());
      } else if (sameTerm
          && !mayAdopt.test(StoreLife.of(theirs))
          && !disagreeing.contains(entry.getKey())) {
        disagreeing.add(entry.getKey());
        return Optional.of(
            new ConfigAction.Report(
                new ConfigEvent.PeerDisagrees(entry.getKey(), theirs.storeId())));
      }
    }
    return Optional.empty();
  }
}
