package org.cowslipstair.experiments.fleet;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.BehaviorSubject;
import io.reactivex.rxjava3.subjects.Subject;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.RoutingRule;
import org.cowslipstair.model.config.Service;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.rollout.RolloutOrder;
import org.cowslipstair.model.rollout.RolloutStatus;
import org.cowslipstair.model.traffic.BackendInstance;
import org.cowslipstair.model.traffic.CallerBounds;
import org.cowslipstair.model.traffic.GatewayEntry;
import org.cowslipstair.model.traffic.RequestKind;
import org.cowslipstair.model.traffic.Route;
import org.cowslipstair.model.traffic.ServiceConfig;
import org.cowslipstair.model.traffic.StorePosition;
import org.cowslipstair.model.traffic.TrafficPlan;
import org.cowslipstair.model.traffic.WeightedService;
import org.cowslipstair.port.ObjectFeed;
import org.cowslipstair.port.StoreException;

/**
 * Gives the objects of a deployment to gateways on an event loop, as a store would. Only zones and
 * gateways change. Routing rules with methods, or without a host, are left out. Thread-safe.
 */
final class DeploymentFeed implements ObjectFeed {
  private static final String HEALTH_PATH = "/-/status";
  private static final long TARGET_LATENCY_MS = 300;
  private static final int PRIORITY = 2;
  private static final int MAX_ATTEMPTS = 2;
  private static final int MAX_CONNECTIONS = 260;
  private static final double COLD_REQUESTS_PER_SECOND = 5.4;
  private static final long FIRST_REVISION = 1;

  private final Deployment deployment;
  private final Map<ZoneName, ZoneChange> zoneChanges = new ConcurrentHashMap<>();
  private final Map<String, Item> gateways = new ConcurrentHashMap<>();
  private final AtomicLong revision = new AtomicLong(FIRST_REVISION);
  private final Subject<Long> revisions =
      BehaviorSubject.createDefault(FIRST_REVISION).toSerialized();

  private record ZoneChange(long revision, boolean isOut) {}

  DeploymentFeed(Deployment deployment) {
    this.deployment = deployment;
  }

  /** Takes a zone out of service, or back in. */
  synchronized void setZoneOut(ZoneName zone, boolean isOut) {
    long changeRevision = revision.incrementAndGet();
    zoneChanges.put(zone, new ZoneChange(changeRevision, isOut));
    revisions.onNext(changeRevision);
  }

  @Override
  public Single<Page> list(Collection collection, Optional<String> after, Freshness freshness) {
    return Single.fromCallable(() -> page(collection));
  }

  private synchronized Page page(Collection collection) {
    return new Page(items(collection), false, new StorePosition(0, revision.get()));
  }

  private List<Item> items(Collection collection) {
    return switch (collection) {
      case CONFIGURATION -> List.of(new Item("main", FIRST_REVISION, new Content.Plan(plan())));
      case BACKENDS -> deployment.services().stream().flatMap(this::backends).toList();
      case ZONES_OUT -> zonesOutSince(0);
      case GATEWAYS -> List.copyOf(gateways.values());
      case ROLLOUTS -> List.of();
    };
  }

  private Stream<Item> backends(Service service) {
    return deployment.backendsOf(service).stream()
        .map(
            backend -> new Item(backend.name().value(), FIRST_REVISION, content(service, backend)));
  }

  private static Content content(Service service, BackendServer backend) {
    return new Content.Backend(
        new BackendInstance(
            backend.name(),
            service.name(),
            backend.address(),
            backend.zone(),
            backend.slots(),
            backend.isLeaving(),
            0,
            1,
            1));
  }

  private TrafficPlan plan() {
    Map<ServiceName, Service> services = new HashMap<>();
    deployment.services().forEach(service -> services.put(service.name(), service));
    List<ServiceConfig> configs =
        services.keySet().stream()
            .map(
                name ->
                    new ServiceConfig(name, HEALTH_PATH, MAX_CONNECTIONS, COLD_REQUESTS_PER_SECOND))
            .toList();
    List<Route> routes =
        deployment.rules().stream()
            .filter(rule -> rule.host().isPresent() && rule.methods().isEmpty())
            .map(rule -> route(rule, services.get(rule.service())))
            .toList();
    return new TrafficPlan(1, CallerBounds.defaults(), configs, routes);
  }

  private static Route route(RoutingRule rule, Service service) {
    return new Route(
        rule.name().value(),
        rule.host().orElseThrow(),
        rule.pathPrefix(),
        RequestKind.SAFE,
        service.timeoutMs(),
        TARGET_LATENCY_MS,
        PRIORITY,
        MAX_ATTEMPTS,
        List.of(new WeightedService(rule.service(), 1)));
  }

  private List<Item> zonesOutSince(long afterRevision) {
    return zoneChanges.entrySet().stream()
        .filter(entry -> entry.getValue().isOut() && entry.getValue().revision() > afterRevision)
        .map(
            entry ->
                new Item(
                    entry.getKey().value(),
                    entry.getValue().revision(),
                    new Content.ZoneOut(entry.getKey())))
        .toList();
  }

  @Override
  public Single<Changes> watch(Collection collection, long afterRevision, long waitMs) {
    Changes nothing = new Changes(List.of(), Set.of(), new StorePosition(0, afterRevision));
    if (collection != Collection.ZONES_OUT) {
      return Single.timer(waitMs, TimeUnit.MILLISECONDS).map(_ -> nothing);
    }
    return revisions
        .filter(latest -> latest > afterRevision)
        .firstOrError()
        .map(_ -> zoneChangesSince(afterRevision))
        .timeout(waitMs, TimeUnit.MILLISECONDS, Single.just(nothing));
  }

  private synchronized Changes zoneChangesSince(long afterRevision) {
    long upTo = revision.get();
    Set<String> deleted = new HashSet<>();
    zoneChanges.forEach(
        (zone, change) -> {
          if (!change.isOut() && change.revision() > afterRevision) {
            deleted.add(zone.value());
          }
        });
    return new Changes(zonesOutSince(afterRevision), deleted, new StorePosition(0, upTo));
  }

  @Override
  public Single<Item> recordStatus(RolloutOrder order, RolloutStatus status) {
    return Single.error(new StoreException.Unavailable("record a status", "no rollouts"));
  }

  @Override
  public Completable announce(GatewayEntry gateway) {
    return Completable.fromAction(
        () ->
            gateways.put(
                gateway.name(),
                new Item(
                    gateway.name(), revision.incrementAndGet(), new Content.Gateway(gateway))));
  }
}
