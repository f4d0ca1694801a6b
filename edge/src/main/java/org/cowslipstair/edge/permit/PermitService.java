package org.cowslipstair.edge.permit;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.cowslipstair.edge.backend.BackendEntry;
import org.cowslipstair.edge.backend.BackendTable;
import org.cowslipstair.edge.peer.PeerLink;
import org.cowslipstair.edge.peer.PeerNetwork;
import org.cowslipstair.logic.ratelimit.RateLimitCoordinator;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.traffic.BackendProcess;
import org.cowslipstair.model.traffic.GatewayEntry;
import org.cowslipstair.model.traffic.RateLimitObservation;
import org.cowslipstair.port.MonotonicClock;

/**
 * Acquires permits for requests to backend servers that limit their rate, from this gateway or the
 * one that issues them, and responds to the requests of other gateways. Used on the event loop
 * only.
 */
public final class PermitService implements PeerNetwork.Service {
  /**
   * Time from the request for a permit in which it may be used and a reply is awaited. Permits are
   * spaced when they are issued; a longer time lets requests bunch up.
   */
  private static final long VALIDITY_MS = 100;

  /** Minimum time between two requests for permits of a backend server after a denial. */
  private static final long MIN_DENIAL_NS = 50_000_000L;

  /** Time after which a gateway that has not confirmed news of a limit is told again; doubles. */
  private static final long FIRST_RETRY_MS = 100;

  private static final long MAX_RETRY_MS = 6_400;

  /** Stands for the response of a gateway that cannot be reached or does not respond. */
  private static final RateLimitCoordinator.Response NO_RESPONSE =
      new RateLimitCoordinator.Response.Denied(MIN_DENIAL_NS);

  private static final long NS_PER_MS = 1_000_000L;

  private final String self;
  private final EventLoop loop;
  private final MonotonicClock clock;
  private final RateLimitCoordinator coordinator;
  private final BackendTable table;
  private final Supplier<Fleet> fleet;
  private final PeerNetwork network;
  private final Set<BackendName> announcedLimits = new HashSet<>();
  private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
  private long lastRequestId;

  /**
   * The fleet of gateways.
   *
   * @param names names of the gateways; the same list as long as nothing has changed
   */
  public record Fleet(List<GatewayEntry> gateways, List<String> names) {
    /** Returns the address of a gateway; empty if it is unknown. */
    public Optional<HostPort> address(String name) {
      return gateways.stream()
          .filter(gateway -> gateway.name().equals(name))
          .map(GatewayEntry::relayAddress)
          .findFirst();
    }
  }

  private record PendingRequest(
      String gateway,
      BackendEntry entry,
      Consumer<Optional<RateLimitCoordinator.Response>> onResponse,
      ScheduledFuture<?> timeoutTimer) {}

  /** Creates a service. */
  public PermitService(
      String self,
      EventLoop loop,
      MonotonicClock clock,
      RateLimitCoordinator coordinator,
      BackendTable table,
      Supplier<Fleet> fleet,
      PeerNetwork network) {
    this.self = self;
    this.loop = loop;
    this.clock = clock;
    this.coordinator = coordinator;
    this.table = table;
    this.fleet = fleet;
    this.network = network;
    network.register(this);
  }

  /**
   * Requests a permit for a request to a backend server.
   *
   * @param requests number of requests that the permit is for: 2 if a probe comes before it
   */
  public void acquire(BackendEntry entry, int requests, PermitListener listener) {
    long nowNs = clock.nowNs();
    reconnectSkipped(entry);
    Optional<String> issuer = issuer(entry);
    if (issuer.isEmpty()) {
      deny(entry, MIN_DENIAL_NS, listener);
    } else if (issuer.get().equals(self)) {
      deliver(entry, respond(entry, requests, nowNs), nowNs, listener);
    } else {
      send(
          issuer.get(),
          entry,
          requests,
          response -> deliver(entry, response.orElse(NO_RESPONSE), nowNs, listener));
    }
  }

  /** Returns whether it is worth requesting a permit of a backend server now. */
  public boolean canRequest(BackendEntry entry) {
    return availableInNs(entry) == 0;
  }

  /** Returns the expected time until a permit of a backend server is available. */
  public long availableInNs(BackendEntry entry) {
    return coordinator.availableInNs(name(entry), clock.nowNs());
  }

  /** Returns the gateway that issues the permits of a backend server; empty if unknown. */
  public Optional<String> issuer(BackendEntry entry) {
    return coordinator.issuer(name(entry), fleet.get().names(), network::isUnreachable);
  }

  /** Returns the number of permits issued by this gateway. */
  public long issuedCount() {
    return coordinator.issuedCount();
  }

  /** Tells the issuer that a response has changed the known rate limit of a backend server. */
  public void reportLimitChange(BackendEntry entry) {
    reportToIssuer(entry, FIRST_RETRY_MS);
  }

  private void reportToIssuer(BackendEntry entry, long retryMs) {
    Optional<String> issuer = issuer(entry);
    if (issuer.equals(Optional.of(self))) {
      announceNewLimit(entry);
    } else if (issuer.isPresent() && isKnown(entry)) {
      tell(issuer.get(), entry, retryMs, nextRetryMs -> reportToIssuer(entry, nextRetryMs));
    }
  }

  /**
   * Tells all gateways of a new limit, so that they do not each exceed it once to learn of it. They
   * learn of later changes when they request a permit.
   */
  private void announceNewLimit(BackendEntry entry) {
    boolean isNew = entry.stats().rateLimit().isPresent() && announcedLimits.add(name(entry));
    if (entry.stats().rateLimit().isEmpty()) {
      announcedLimits.remove(name(entry));
    }
    if (isNew) {
      fleet.get().names().stream()
          .filter(gateway -> !gateway.equals(self))
          .forEach(gateway -> announce(gateway, entry, FIRST_RETRY_MS));
    }
  }

  private void announce(String gateway, BackendEntry entry, long retryMs) {
    boolean isLimited = isKnown(entry) && entry.stats().rateLimit().isPresent();
    if (isLimited && fleet.get().names().contains(gateway)) {
      tell(gateway, entry, retryMs, nextRetryMs -> announce(gateway, entry, nextRetryMs));
    }
  }

  /**
   * Tells another gateway what is known of a rate limit.
   *
   * @param onUnconfirmed called if the gateway has not confirmed it, after the time to retry, with
   *     the next such time
   */
  private void tell(String gateway, BackendEntry entry, long retryMs, LongConsumer onUnconfirmed) {
    send(
        gateway,
        entry,
        0,
        response -> {
          if (response.isEmpty()) {
            long nextRetryMs = Math.min(MAX_RETRY_MS, 2 * retryMs);
            loop.schedule(() -> onUnconfirmed.accept(nextRetryMs), retryMs, TimeUnit.MILLISECONDS);
          }
        });
  }

  private boolean isKnown(BackendEntry entry) {
    return table.find(name(entry)).filter(entry::equals).isPresent();
  }

  /**
   * Requests a permit from another gateway.
   *
   * @param onResponse called once with the response; empty if there is none
   */
  private void send(
      String gateway,
      BackendEntry entry,
      int requests,
      Consumer<Optional<RateLimitCoordinator.Response>> onResponse) {
    Optional<PeerLink> link = network.open(gateway);
    if (link.isEmpty()) {
      onResponse.accept(Optional.empty());
      return;
    }
    lastRequestId++;
    long id = lastRequestId;
    ScheduledFuture<?> timeoutTimer =
        loop.schedule(() -> onTimeout(id), VALIDITY_MS, TimeUnit.MILLISECONDS);
    pendingRequests.put(id, new PendingRequest(gateway, entry, onResponse, timeoutTimer));
    PermitMessage request =
        new PermitMessage.Request(id, backend(entry), requests, observed(entry));
    link.get().send(PermitCodec.encode(request), true);
  }

  private void onTimeout(long id) {
    PendingRequest pending = pendingRequests.remove(id);
    if (pending != null) {
      pending.onResponse.accept(Optional.empty());
    }
  }

  @Override
  public boolean owns(byte[] frame) {
    return PermitCodec.isPermitMessage(frame);
  }

  @Override
  public void onResponse(String gateway, byte[] frame) throws IOException {
    PermitMessage message = PermitCodec.decode(frame);
    if (!(message instanceof PermitMessage.Reply(long id, var verdict, var observed))) {
      return;
    }
    PendingRequest pending = pendingRequests.remove(id);
    if (pending == null) {
      return;
    }
    pending.timeoutTimer.cancel(false);
    observed.ifPresent(observation -> record(pending.entry, observation));
    pending.onResponse.accept(Optional.of(response(verdict)));
  }

  private static RateLimitCoordinator.Response response(PermitMessage.Verdict verdict) {
    return switch (verdict) {
      case PermitMessage.Verdict.Granted _ -> new RateLimitCoordinator.Response.Granted();
      case PermitMessage.Verdict.Unlimited _ -> new RateLimitCoordinator.Response.Unlimited();
      case PermitMessage.Verdict.Denied(long availableInMs) ->
          new RateLimitCoordinator.Response.Denied(availableInMs * NS_PER_MS);
      case PermitMessage.Verdict.NotIssuer _ ->
          new RateLimitCoordinator.Response.NotIssuer(Optional.empty());
    };
  }

  private void deliver(
      BackendEntry entry,
      RateLimitCoordinator.Response response,
      long requestedNs,
      PermitListener listener) {
    switch (response) {
      case RateLimitCoordinator.Response.Granted _ ->
          listener.onGranted(requestedNs + VALIDITY_MS * NS_PER_MS);
      case RateLimitCoordinator.Response.Unlimited _ -> listener.onUnlimited();
      case RateLimitCoordinator.Response.Denied(long availableInNs) ->
          deny(entry, Math.max(MIN_DENIAL_NS, availableInNs), listener);
      case RateLimitCoordinator.Response.NotIssuer _ -> deny(entry, MIN_DENIAL_NS, listener);
    }
  }

  private void deny(BackendEntry entry, long availableInNs, PermitListener listener) {
    coordinator.recordDenial(name(entry), availableInNs, clock.nowNs());
    listener.onDenied();
  }

  @Override
  public Optional<byte[]> onFrame(byte[] frame) throws IOException {
    return switch (PermitCodec.decode(frame)) {
      case PermitMessage.Request request -> Optional.of(PermitCodec.encode(reply(request)));
      case PermitMessage.Reply _ ->
          throw new MalformedPermitMessageException("reply without a request");
    };
  }

  private PermitMessage reply(PermitMessage.Request request) {
    Optional<BackendEntry> found = find(request.backend());
    if (found.isEmpty()) {
      return new PermitMessage.Reply(
          request.id(), new PermitMessage.Verdict.NotIssuer(), Optional.empty());
    }
    BackendEntry entry = found.get();
    request.observed().ifPresent(observation -> record(entry, observation));
    reconnectSkipped(entry);
    PermitMessage.Verdict verdict =
        switch (respond(entry, request.requests(), clock.nowNs())) {
          case RateLimitCoordinator.Response.Granted _ -> new PermitMessage.Verdict.Granted();
          case RateLimitCoordinator.Response.Unlimited _ -> new PermitMessage.Verdict.Unlimited();
          case RateLimitCoordinator.Response.Denied(long availableInNs) ->
              new PermitMessage.Verdict.Denied(availableInNs / NS_PER_MS);
          case RateLimitCoordinator.Response.NotIssuer(var issuer) -> {
            // A link shows whether the issuer is unreachable, so that this gateway must stand in.
            issuer.flatMap(network::open).ifPresent(PeerLink::verify);
            yield new PermitMessage.Verdict.NotIssuer();
          }
        };
    return new PermitMessage.Reply(request.id(), verdict, observed(entry));
  }

  /** Tries to reach the gateways again that would issue the permits in place of the issuer. */
  private void reconnectSkipped(BackendEntry entry) {
    coordinator
        .skipped(name(entry), fleet.get().names(), network::isUnreachable)
        .forEach(network::open);
  }

  private RateLimitCoordinator.Response respond(BackendEntry entry, int requests, long nowNs) {
    List<String> gateways = fleet.get().names();
    if (issuer(entry).equals(Optional.of(self))) {
      announceNewLimit(entry);
    }
    if (entry.stats().rateLimit().isPresent()) {
      coordinator
          .unconfirmed(name(entry), gateways, network::isUnreachable)
          .forEach(gateway -> requestConfirmation(gateway, entry));
    }
    return coordinator.respond(
        name(entry), entry.stats().rateLimit(), requests, gateways, network::isUnreachable, nowNs);
  }

  /** Asks another gateway whether it issues permits; it confirms this one if it does not. */
  private void requestConfirmation(String gateway, BackendEntry entry) {
    boolean isPending =
        pendingRequests.values().stream()
            .anyMatch(p -> p.entry == entry && p.gateway.equals(gateway));
    if (isPending) {
      return;
    }
    send(
        gateway,
        entry,
        0,
        response -> {
          if (response.orElse(NO_RESPONSE) instanceof RateLimitCoordinator.Response.NotIssuer) {
            coordinator.recordConfirmation(name(entry), gateway);
          }
        });
  }

  private void record(BackendEntry entry, PermitMessage.Observed observed) {
    long observedNs = clock.nowNs() - observed.ageMs() * NS_PER_MS;
    entry.stats().recordRateLimit(new RateLimitObservation(observed.limit(), observedNs));
  }

  private Optional<PermitMessage.Observed> observed(BackendEntry entry) {
    long nowNs = clock.nowNs();
    return entry
        .stats()
        .rateLimitObservation()
        .map(
            observation ->
                new PermitMessage.Observed(
                    observation.limit(), (nowNs - observation.observedNs()) / NS_PER_MS));
  }

  private Optional<BackendEntry> find(BackendProcess backend) {
    return table.find(backend.name()).filter(entry -> backend(entry).equals(backend));
  }

  private static BackendProcess backend(BackendEntry entry) {
    return entry.stats().instance().process();
  }

  private static BackendName name(BackendEntry entry) {
    return entry.stats().instance().name();
  }
}
