package org.cowslipstair.edge.quota;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.cowslipstair.edge.FrontSettings;
import org.cowslipstair.edge.GatewayComponents;
import org.cowslipstair.edge.log.GatewayMetrics;
import org.cowslipstair.edge.loop.RepeatedTask;
import org.cowslipstair.edge.peer.PeerNetwork;
import org.cowslipstair.logic.quota.DenialMemory;
import org.cowslipstair.logic.quota.QuotaCoordinator;
import org.cowslipstair.logic.quota.QuotaIssuer;
import org.cowslipstair.logic.quota.ShareOffer;
import org.cowslipstair.logic.quota.StartAllowance;
import org.cowslipstair.model.tenant.Quota;
import org.cowslipstair.model.tenant.QuotaPolicy;
import org.cowslipstair.model.tenant.TenantName;
import org.cowslipstair.port.MonotonicClock;

/**
 * Acquires permits for requests of tenants that have quotas, from this gateway or the one that
 * issues them, and responds to other gateways. Does nothing until a configuration has a quota. Used
 * on the event loop only.
 */
public final class QuotaService implements PeerNetwork.Service {
  /** Time between two messages by which this gateway lends its share. */
  private static final long RENEWAL_INTERVAL_MS = 200;

  /** Minimum and maximum time in which a reply is awaited. */
  private static final long MIN_REPLY_NS = 50_000_000L;

  /** A gateway that takes longer counts as silent; one that has just started may need this long. */
  private static final long MAX_REPLY_NS = 400_000_000L;

  /** Number of requests for one permit; the first one to an issuer cannot bring a share yet. */
  private static final int MAX_ATTEMPTS = 2;

  /** Time after which a caller should return if no issuer responds. */
  private static final long NO_ISSUER_RETURN_NS = 500_000_000L;

  private final String self;
  private final EventLoop loop;
  private final MonotonicClock clock;
  private final QuotaCoordinator coordinator;
  private final QuotaLimits limits;
  private final Supplier<List<String>> gateways;
  private final PeerNetwork network;
  private final QuotaLog log;
  private final DenialMemory denials = new DenialMemory();
  private final QuotaRequests requests;
  private final StartAllowance startAllowance;
  private boolean isStarted;
  private boolean isRenewing;
  private long forwardedCount;
  private long refusedCount;

  /** Receives the result of a request for a permit; exactly one method is called, once. */
  interface Listener {
    /**
     * One request may run.
     *
     * @param isIssued whether an issuer counts the request, so that it can be given back
     */
    void onGranted(boolean isIssued);

    /**
     * No permit is available.
     *
     * @param returnInNs time after which the caller should return
     * @param isOverQuota whether the tenant exceeds its quota; otherwise the issuer is out of reach
     */
    void onDenied(long returnInNs, boolean isOverQuota);
  }

  /**
   * Creates the service of a gateway that has neither lent nor issued anything.
   *
   * @param gateways names of all known gateways; the same list as long as nothing has changed
   */
  public static QuotaService create(
      FrontSettings settings,
      GatewayComponents components,
      QuotaLimits limits,
      Supplier<List<String>> gateways,
      PeerNetwork network) {
    QuotaCoordinator coordinator =
        QuotaCoordinator.create(
            settings.name(),
            components.random(),
            settings.relay().firstStart(),
            components.monitor(),
            components.clock().nowNs());
    return new QuotaService(
        settings.name(),
        components.loop(),
        components.clock(),
        coordinator,
        new StartAllowance(settings.relay().firstStart(), components.clock().nowNs()),
        limits,
        gateways,
        network);
  }

  private QuotaService(
      String self,
      EventLoop loop,
      MonotonicClock clock,
      QuotaCoordinator coordinator,
      StartAllowance startAllowance,
      QuotaLimits limits,
      Supplier<List<String>> gateways,
      PeerNetwork network) {
    this.self = self;
    this.loop = loop;
    this.clock = clock;
    this.coordinator = coordinator;
    this.limits = limits;
    this.gateways = gateways;
    this.network = network;
    this.startAllowance = startAllowance;
    this.log = new QuotaLog(coordinator.issuer());
    this.requests = new QuotaRequests(self, loop, network, MAX_REPLY_NS, this::onSilence);
    network.register(this);
  }

  /** Returns whether the fleet keeps quotas. */
  boolean isEnabled() {
    return limits.policy().isPresent();
  }

  /** Starts to lend the share of this gateway once a configuration has a quota. */
  public void onConfiguration() {
    if (!isStarted && limits.hasQuotas() && !gateways.get().isEmpty()) {
      isStarted = true;
      RepeatedTask.start(loop, "quota", this::renewAndReconnect);
    }
  }

  private long renewAndReconnect() {
    if (limits.hasQuotas()) {
      long nowNs = clock.nowNs();
      coordinator.toReach(gateways.get(), network::isUnreachable, nowNs).forEach(network::open);
      renew(true);
    }
    return RENEWAL_INTERVAL_MS;
  }

  /**
   * Renews the loan of the own share.
   *
   * @param isScheduled whether to go on at once when a reply lets the share be lent; a reply to
   *     what follows from a reply does not, since an issuer whose process changes would be asked as
   *     fast as it responds
   */
  private void renew(boolean isScheduled) {
    long nowNs = clock.nowNs();
    Optional<String> preferred =
        coordinator.preferred(gateways.get(), network::isUnreachable, nowNs);
    Optional<QuotaPolicy> policy = limits.policy();
    if (preferred.isEmpty() || policy.isEmpty()) {
      return;
    }
    String gateway = preferred.get();
    if (isScheduled) {
      coordinator.heldUpBy(gateway, nowNs).ifPresent(this::release);
    }
    if (gateway.equals(self)) {
      coordinator.respondToSelf(Optional.empty(), windowNs(), gateways.get(), nowNs);
    } else if (coordinator.needsRenewal(gateway, nowNs)) {
      requests.send(
          gateway,
          coordinator.offer(gateway, windowNs(), nowNs),
          Optional.empty(),
          MAX_REPLY_NS,
          reply -> {
            boolean canLend = reply.isPresent() && coordinator.canLend(gateway, clock.nowNs());
            if (isScheduled && canLend) {
              renew(false);
            }
          });
    }
    log.onShareLent(coordinator.lentTo(nowNs), coordinator.issuer().lentShare(nowNs));
  }

  private void release(String holder) {
    if (holder.equals(self)) {
      coordinator.releaseSelf(clock.nowNs());
      return;
    }
    requests.send(
        holder,
        coordinator.release(holder),
        Optional.empty(),
        MAX_REPLY_NS,
        reply ->
            reply.ifPresent(
                released -> {
                  coordinator.recordReleased(released);
                  renew(false);
                }));
  }

  private long windowNs() {
    return limits.policy().map(policy -> policy.windowMs() * 1_000_000L).orElse(0L);
  }

  /**
   * Requests a permit for a request.
   *
   * @param waitNs time that the request may wait for the permit
   */
  void acquire(TenantName tenant, Quota quota, long waitNs, Listener listener) {
    long replyNs = Math.clamp(waitNs, MIN_REPLY_NS, MAX_REPLY_NS);
    QuotaMessage.Wanted wanted = new QuotaMessage.Wanted(tenant, quota, limits.planVersion());
    acquire(wanted, MAX_ATTEMPTS, replyNs, listener);
  }

  private void acquire(QuotaMessage.Wanted wanted, int attempts, long replyNs, Listener listener) {
    long nowNs = clock.nowNs();
    if (denials.isPaused(wanted.tenant(), nowNs)) {
      deny(wanted.tenant(), listener);
      return;
    }
    Optional<String> issuer =
        coordinator.issuerToAsk(gateways.get(), network::isUnreachable, nowNs);
    if (issuer.isEmpty()) {
      denyWithoutIssuer(wanted.tenant(), listener);
      return;
    }
    if (issuer.get().equals(self)) {
      Optional<QuotaCoordinator.Wanted> limited = limited(wanted);
      QuotaCoordinator.Reply reply =
          coordinator.respondToSelf(limited, windowNs(), gateways.get(), nowNs);
      limited.ifPresent(w -> log.onDecision(w, reply, nowNs));
      conclude(wanted.tenant(), reply, listener);
    } else {
      ask(issuer.get(), wanted, attempts, replyNs, listener);
    }
  }

  private void ask(
      String issuer, QuotaMessage.Wanted wanted, int attempts, long replyNs, Listener listener) {
    forwardedCount++;
    ShareOffer offer = coordinator.offer(issuer, windowNs(), clock.nowNs());
    boolean isFirstContact = offer.issuerId() == 0;
    requests.send(
        issuer,
        offer,
        Optional.of(wanted),
        replyNs,
        reply -> {
          boolean isDenied =
              reply.flatMap(QuotaCoordinator.Reply::decision).orElse(null)
                  instanceof QuotaIssuer.Decision.Denied;
          if (isDenied && isFirstContact && attempts > 1) {
            acquire(wanted, attempts - 1, replyNs, listener);
          } else if (reply.isEmpty()) {
            denyWithoutIssuer(wanted.tenant(), listener);
          } else {
            conclude(wanted.tenant(), reply.get(), listener);
          }
        });
  }

  /** A reply without a decision means that the tenant has no quota any more. */
  private void conclude(TenantName tenant, QuotaCoordinator.Reply reply, Listener listener) {
    switch (reply.decision().orElseGet(QuotaIssuer.Decision.Granted::new)) {
      case QuotaIssuer.Decision.Granted _ -> listener.onGranted(true);
      case QuotaIssuer.Decision.Denied denied -> {
        denials.record(tenant, denied, clock.nowNs());
        deny(tenant, listener);
      }
    }
  }

  private void deny(TenantName tenant, Listener listener) {
    DenialMemory.Denial denial = denials.next(tenant, clock.nowNs());
    if (denial.isOverQuota()) {
      refusedCount++;
      listener.onDenied(denial.returnInNs(), true);
    } else {
      denyWithoutIssuer(tenant, listener);
    }
  }

  private void denyWithoutIssuer(TenantName tenant, Listener listener) {
    if (startAllowance.tryTake(tenant, clock.nowNs())) {
      listener.onGranted(false);
      return;
    }
    refusedCount++;
    listener.onDenied(NO_ISSUER_RETURN_NS, false);
  }

  /** Gives back a permit whose request has not run. */
  void giveBack(TenantName tenant) {
    Optional<String> issuer =
        coordinator.issuerToAsk(gateways.get(), network::isUnreachable, clock.nowNs());
    if (issuer.equals(Optional.of(self))) {
      coordinator.issuer().giveBack(tenant);
    } else {
      issuer
          .flatMap(network::open)
          .ifPresent(
              link -> link.send(QuotaCodec.encode(new QuotaMessage.GiveBack(tenant)), false));
    }
  }

  @Override
  public boolean owns(byte[] frame) {
    return QuotaCodec.isQuotaMessage(frame);
  }

  @Override
  public void onResponse(String gateway, byte[] frame) throws IOException {
    if (!(QuotaCodec.decode(frame) instanceof QuotaMessage.Reply(long id, var content))) {
      return;
    }
    coordinator.recordReply(gateway, content, clock.nowNs());
    requests.onReply(id, content);
  }

  @Override
  public Optional<byte[]> onFrame(byte[] frame) throws IOException {
    return switch (QuotaCodec.decode(frame)) {
      case QuotaMessage.Request request -> Optional.of(QuotaCodec.encode(reply(request)));
      case QuotaMessage.GiveBack(var tenant) -> {
        coordinator.issuer().giveBack(tenant);
        yield Optional.empty();
      }
      case QuotaMessage.Reply _ ->
          throw new MalformedQuotaMessageException("reply without a request");
    };
  }

  private QuotaMessage.Reply reply(QuotaMessage.Request request) {
    long nowNs = clock.nowNs();
    Optional<QuotaCoordinator.Wanted> wanted = request.wanted().flatMap(this::limited);
    QuotaCoordinator.Reply reply =
        coordinator.respond(request.sender(), request.offer(), wanted, gateways.get(), nowNs);
    wanted.ifPresent(w -> log.onDecision(w, reply, nowNs));
    return new QuotaMessage.Reply(request.id(), reply);
  }

  /** Returns what to issue; empty if the tenant has no quota any more. */
  private Optional<QuotaCoordinator.Wanted> limited(QuotaMessage.Wanted wanted) {
    return limits
        .bounds(wanted.tenant(), wanted.quota(), wanted.planVersion())
        .map(bounds -> new QuotaCoordinator.Wanted(wanted.tenant(), bounds));
  }

  /** Registers gauges of what this gateway issues and is refused. */
  public void registerGauges(GatewayMetrics metrics) {
    QuotaIssuer issuer = coordinator.issuer();
    metrics.registerGauge("quota.granted", issuer::grantedCount);
    metrics.registerGauge("quota.denied", issuer::deniedCount);
    metrics.registerGauge("quota.forwarded", () -> forwardedCount);
    metrics.registerGauge("quota.unanswered", requests::unansweredCount);
    metrics.registerGauge("quota.refused", () -> refusedCount);
  }

  /** Turns to the next gateway at once, since this one's share is of no use meanwhile. */
  private void onSilence(String gateway) {
    coordinator.recordSilence(gateway, clock.nowNs());
    if (!isRenewing) {
      isRenewing = true;
      loop.execute(
          () -> {
            isRenewing = false;
            renew(true);
          });
    }
  }

  /** Returns what is known about quotas here. */
  public QuotaStatus status() {
    long nowNs = clock.nowNs();
    QuotaIssuer issuer = coordinator.issuer();
    return new QuotaStatus(
        coordinator.lentTo(nowNs),
        issuer.lentShare(nowNs),
        issuer.grantedCount(),
        issuer.deniedCount(),
        forwardedCount,
        requests.unansweredCount(),
        refusedCount,
        issuer.topUsages(QuotaStatus.MAX_TENANTS, nowNs));
  }
}
