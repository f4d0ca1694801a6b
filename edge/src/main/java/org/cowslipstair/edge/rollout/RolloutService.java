package org.cowslipstair.edge.rollout;

import io.netty.channel.EventLoop;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.schedulers.Schedulers;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.cowslipstair.edge.GatewayComponents;
import org.cowslipstair.edge.log.GatewayMetrics;
import org.cowslipstair.edge.loop.RepeatedTask;
import org.cowslipstair.edge.peer.PeerNetwork;
import org.cowslipstair.logic.budget.GatewayRanking;
import org.cowslipstair.logic.rollout.Directive;
import org.cowslipstair.logic.rollout.RolloutDecider;
import org.cowslipstair.logic.rollout.RolloutReport;
import org.cowslipstair.logic.rollout.RouteCounts;
import org.cowslipstair.logic.rollout.VersionChoice;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.rollout.RolloutOrder;
import org.cowslipstair.model.rollout.RolloutPolicy;
import org.cowslipstair.model.rollout.RolloutStatus;
import org.cowslipstair.model.rollout.ServiceVersion;
import org.cowslipstair.model.traffic.BackendInstance;
import org.cowslipstair.port.MonotonicClock;
import org.cowslipstair.port.ObjectFeed;
import org.cowslipstair.port.ObjectFeed.Content;
import org.cowslipstair.port.ObjectFeed.Item;
import org.jboss.logging.Logger;

/**
 * Carries out rollouts together with the other gateways. While an order is open, this gateway
 * reports to the decider of its service what it has seen, and follows what the decider tells; it is
 * the decider itself if it is the first reachable gateway in the ranking of the service. Used on
 * the event loop only.
 */
public final class RolloutService implements PeerNetwork.Service, VersionRouting {
  private static final Logger LOG = Logger.getLogger(RolloutService.class);
  private static final long NS_PER_MS = 1_000_000L;
  private static final long MIN_INTERVAL_MS = 200;

  /** Time between two reports per gateway of the fleet, which bounds the load of the decider. */
  private static final double INTERVAL_MS_PER_GATEWAY = 2.5;

  private static final long IDLE_INTERVAL_MS = 1_000;

  /** Number of intervals for which a directive holds. */
  private static final long LEASE_INTERVALS = 5;

  /** Number of intervals without a report after which there is nothing left to decide. */
  private static final long ABANDONED_INTERVALS = 10;

  private static final long WRITE_RETRY_MS = 300;
  private static final long MAX_ORDERS_WAIT_MS = 3_000;

  private final Peers peers;
  private final EventLoop loop;
  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private final RandomGenerator random;
  private final RolloutPolicy policy;
  private final ObjectFeed feed;
  private final long boot;
  private final long startedNs;
  private final GatewayRanking ranking = new GatewayRanking();
  private final Map<ServiceName, LocalRollout> rollouts = new HashMap<>();
  private final Map<ServiceName, Decision> decisions = new HashMap<>();
  private boolean isStarted;

  /**
   * The fleet as this gateway knows it.
   *
   * @param self name of this gateway
   * @param gateways returns the names of all known gateways; the same list until one changes
   */
  public record Peers(String self, Supplier<List<String>> gateways, PeerNetwork network) {}

  /** Creates a service and registers it with the network. */
  public RolloutService(Peers peers, GatewayComponents components, RolloutPolicy policy) {
    this.peers = peers;
    this.loop = components.loop();
    this.scheduler = Schedulers.from(loop);
    this.clock = components.clock();
    this.random = components.random();
    this.policy = policy;
    this.feed = components.feed();
    this.boot = random.nextLong();
    this.startedNs = clock.nowNs();
    peers.network().register(this);
  }

  /**
   * Returns whether requests may be served: once the orders have been read, or after a while
   * without them, since gateways of an earlier release do not relay them.
   *
   * @param ordersRevision revision up to which the orders have been read; 0 if they have not been
   */
  public boolean maySend(long ordersRevision) {
    return ordersRevision > 0 || clock.nowNs() - startedNs > MAX_ORDERS_WAIT_MS * NS_PER_MS;
  }

  /** Applies what the store tells of orders and backend servers. */
  public void update(List<Item> items, List<BackendInstance> backends) {
    long nowNs = clock.nowNs();
    Map<ServiceName, RolloutOrder> orders = orders(items);
    Map<ServiceName, Set<ServiceVersion>> versions = new HashMap<>();
    Set<ServiceName> withUnversioned = new HashSet<>();
    for (BackendInstance backend : backends) {
      if (!backend.leaving()) {
        Set<ServiceVersion> known =
            versions.computeIfAbsent(backend.service(), _ -> new HashSet<>());
        backend.version().ifPresentOrElse(known::add, () -> withUnversioned.add(backend.service()));
      }
    }
    Set<ServiceName> services = new HashSet<>(versions.keySet());
    services.addAll(orders.keySet());
    services.addAll(rollouts.keySet());
    boolean hasNew = false;
    for (ServiceName service : services) {
      Optional<RolloutOrder> order = Optional.ofNullable(orders.get(service));
      hasNew |=
          rolloutOf(service)
              .update(
                  order,
                  versions.getOrDefault(service, Set.of()),
                  withUnversioned.contains(service),
                  nowNs);
      order.ifPresent(
          read -> Optional.ofNullable(decisions.get(service)).ifPresent(d -> d.learn(read)));
      if (order.isEmpty()) {
        decisions.remove(service);
      }
    }
    if (hasNew) {
      start();
    }
  }

  /** Of two orders for one service the one that was changed last is in force. */
  private static Map<ServiceName, RolloutOrder> orders(List<Item> items) {
    Map<ServiceName, RolloutOrder> orders = new HashMap<>();
    for (Item item : items) {
      if (item.content() instanceof Content.Rollout(RolloutOrder order)) {
        orders.merge(
            order.service(), order, (one, two) -> one.revision() > two.revision() ? one : two);
      }
    }
    return orders;
  }

  private LocalRollout rolloutOf(ServiceName service) {
    return rollouts.computeIfAbsent(service, name -> new LocalRollout(name, policy));
  }

  private void start() {
    if (!isStarted) {
      isStarted = true;
      RepeatedTask.start(loop, "rollout", this::reportAndDecide);
    } else {
      reportAndDecide();
    }
  }

  private long intervalMs() {
    int gateways = peers.gateways().get().size();
    return Math.max(MIN_INTERVAL_MS, (long) (gateways * INTERVAL_MS_PER_GATEWAY));
  }

  private long reportAndDecide() {
    long nowNs = clock.nowNs();
    boolean hasOpen = false;
    for (LocalRollout rollout : rollouts.values()) {
      Optional<RolloutOrder> open = rollout.openOrder();
      if (open.isPresent()) {
        hasOpen = true;
        report(rollout, open.get(), nowNs);
      }
    }
    decide(nowNs);
    return hasOpen || !decisions.isEmpty() ? intervalMs() : IDLE_INTERVAL_MS;
  }

  private void report(LocalRollout rollout, RolloutOrder order, long nowNs) {
    RolloutReport report = rollout.report(order, peers.self(), boot, nowNs);
    String decider = decider(order.service());
    if (decider.equals(peers.self())) {
      onReport(report, nowNs).ifPresent(d -> rollout.direct(order.target(), d, nowNs, leaseNs()));
      return;
    }
    peers
        .network()
        .open(decider)
        .ifPresent(link -> link.send(RolloutCodec.encode(new RolloutMessage.Report(report)), true));
  }

  /**
   * Returns the first reachable gateway in the ranking of a service. Those before it are tried
   * again, so that all gateways agree on the decider once they reach it.
   */
  private String decider(ServiceName service) {
    for (String gateway : ranking.ranked(service.value(), peers.gateways().get())) {
      if (gateway.equals(peers.self()) || !peers.network().isUnreachable(gateway)) {
        return gateway;
      }
      peers.network().open(gateway);
    }
    return peers.self();
  }

  private long leaseNs() {
    return LEASE_INTERVALS * intervalMs() * NS_PER_MS;
  }

  /** Takes a report; returns what the gateway is to do, empty if the order is unknown here. */
  private Optional<Directive> onReport(RolloutReport report, long nowNs) {
    LocalRollout rollout = rolloutOf(report.service());
    Optional<RolloutOrder> order =
        rollout.openOrder().filter(open -> open.target().equals(report.target()));
    Decision decision = decisions.get(report.service());
    if (decision == null && order.isPresent()) {
      decision = new Decision(policy, order.get(), nowNs);
      decisions.put(report.service(), decision);
      LOG.infof("rollout: %s: decided by this gateway", describe(order.get()));
    }
    if (decision == null || !decision.order().target().equals(report.target())) {
      return Optional.empty();
    }
    decision.onReport(report, nowNs);
    return Optional.of(decision.directive());
  }

  private void decide(long nowNs) {
    long maxSilenceNs = ABANDONED_INTERVALS * intervalMs() * NS_PER_MS;
    decisions.values().removeIf(d -> d.isReplaced() || d.isAbandoned(nowNs, maxSilenceNs));
    List<String> gateways = peers.gateways().get();
    List<String> reachable = new ArrayList<>(gateways);
    reachable.removeIf(peers.network()::isUnreachable);
    for (Decision decision : List.copyOf(decisions.values())) {
      decision
          .step(gateways, reachable, intervalMs(), nowNs)
          .forEach(action -> perform(decision, action, nowNs));
    }
  }

  private void perform(Decision decision, RolloutDecider.Action action, long nowNs) {
    switch (action) {
      case RolloutDecider.Action.Record(RolloutStatus.State state) ->
          record(decision, state, nowNs);
      case RolloutDecider.Action.TellAll(Directive directive) ->
          tellAll(decision.order(), directive, nowNs);
      case RolloutDecider.Action.Explain(String text) ->
          LOG.infof("rollout: %s: %s", describe(decision.order()), text);
    }
  }

  private void tellAll(RolloutOrder order, Directive directive, long nowNs) {
    rolloutOf(order.service()).direct(order.target(), directive, nowNs, leaseNs());
    byte[] frame =
        RolloutCodec.encode(
            new RolloutMessage.Told(order.service(), order.target(), Optional.of(directive)));
    for (String gateway : peers.gateways().get()) {
      if (!gateway.equals(peers.self())) {
        peers.network().open(gateway).ifPresent(link -> link.send(frame, false));
      }
    }
  }

  /** A lost answer is resolved by the next write, which tells the status that was recorded. */
  private void record(Decision decision, RolloutStatus.State state, long nowNs) {
    if (!decision.beginWrite(nowNs)) {
      return;
    }
    RolloutOrder order = decision.order();
    feed.recordStatus(order, new RolloutStatus(state, order.target()))
        .observeOn(scheduler)
        .subscribe(
            item -> {
              decision.endWrite(clock.nowNs());
              if (item.content() instanceof Content.Rollout(RolloutOrder stored)) {
                decision.learn(stored);
                LOG.infof(
                    "rollout: %s: status in the store is %s",
                    describe(stored), stored.status().map(s -> s.state().name()).orElse("none"));
              }
            },
            cause -> {
              decision.endWrite(clock.nowNs() + WRITE_RETRY_MS * NS_PER_MS);
              LOG.warnf(
                  "rollout: %s: status %s not recorded: %s",
                  describe(order), state, cause.getMessage());
            });
  }

  private static String describe(RolloutOrder order) {
    return order.service().value() + " to " + order.target();
  }

  /** Returns what this gateway sees of rollouts, for the state dump. */
  public List<Summary> summaries() {
    List<Summary> summaries = new ArrayList<>();
    long nowNs = clock.nowNs();
    for (Map.Entry<ServiceName, LocalRollout> entry : rollouts.entrySet()) {
      entry
          .getValue()
          .openOrder()
          .ifPresent(
              order ->
                  summaries.add(
                      new Summary(
                          order,
                          decider(order.service()),
                          entry.getValue().share().directive(nowNs).map(Object::toString),
                          entry.getValue().sum())));
    }
    return summaries;
  }

  /**
   * An open order as this gateway sees it.
   *
   * @param directive what the decider has told; empty if it has not lately
   * @param counts outcomes of the sends of this gateway
   */
  public record Summary(
      RolloutOrder order, String decider, Optional<String> directive, RouteCounts counts) {}

  /** Registers what an operator sees of rollouts beside the state dump. */
  public void registerGauges(GatewayMetrics metrics) {
    metrics.registerGauge("rollouts.open", this::openCount);
    metrics.registerGauge("rollouts.new.version.sends", this::targetSentCount);
  }

  private long openCount() {
    return rollouts.values().stream().filter(rollout -> rollout.openOrder().isPresent()).count();
  }

  private long targetSentCount() {
    return rollouts.values().stream().mapToLong(r -> r.sum().target().sent()).sum();
  }

  @Override
  public VersionChoice choose(ServiceName service) {
    return rolloutOf(service).share().choose(random, clock.nowNs());
  }

  @Override
  public Send recordSent(String route, BackendInstance backend, double usualNs) {
    LocalRollout.Send send =
        rolloutOf(backend.service()).recordSent(route, backend, usualNs, clock.nowNs());
    return ending -> send.recordEnd(ending, clock.nowNs());
  }

  @Override
  public boolean owns(byte[] frame) {
    return RolloutCodec.isRolloutMessage(frame);
  }

  @Override
  public Optional<byte[]> onFrame(byte[] frame) throws IOException {
    return switch (RolloutCodec.decode(frame)) {
      case RolloutMessage.Report(RolloutReport report) ->
          Optional.of(
              RolloutCodec.encode(
                  new RolloutMessage.Told(
                      report.service(), report.target(), onReport(report, clock.nowNs()))));
      case RolloutMessage.Told told -> {
        onTold(told);
        yield Optional.empty();
      }
    };
  }

  @Override
  public void onResponse(String gateway, byte[] frame) throws IOException {
    if (RolloutCodec.decode(frame) instanceof RolloutMessage.Told told) {
      onTold(told);
    }
  }

  private void onTold(RolloutMessage.Told told) {
    told.directive()
        .ifPresent(
            directive ->
                rolloutOf(told.service())
                    .direct(told.target(), directive, clock.nowNs(), leaseNs()));
  }
}
