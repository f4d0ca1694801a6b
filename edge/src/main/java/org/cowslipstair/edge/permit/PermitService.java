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

  /** Receives the result of a request for a permit; exactly one method is called, once. */
  public interface Listener {
    /**
     * One request may be sent.
     *
     * @param validUntilNs monotonic time until which it may be sent
     */
    void onGranted(long validUntilNs);

    /** The backend server does not limit its rate any more. */
    void onUnlimited();

    /** No permit is available. */
    void onDenied();
  }

  private record PendingRequest(
      String gateway,
      BackendEntry entry,
      Consumer<RateLimitCoordinator.Response> onResponse,
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
  public void acquire(BackendEntry entry, int requests, Listener listener) {
    long nowNs = clock.nowNs();
    reconnectSkipped(entry);
    Optional<String> issuer = issuer(entry);
    if (issuer.isEmpty()) {
      deny(entry, MIN_DENIAL_NS, listener);
    } else if (issuer.get().equals(self)) {
      deliver(entry, respond(entry, requests, nowNs), nowNs, listener);
    } else {
      send(issuer.get(), entry, requests, response -> deliver(entry, response, nowNs, listener));
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
    Optional<String> issuer = issuer(entry);
    if (issuer.equals(Optional.of(self))) {
      announceNewLimit(entry);
    } else {
      issuer.ifPresent(gateway -> report(entry, gateway));
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
          .forEach(gateway -> report(entry, gateway));
    }
  }

  private void report(BackendEntry entry, String gateway) {
    Optional<PermitMessage.Observed> observed = observed(entry);
    Optional<PeerLink> link = network.open(gateway);
    if (link.isPresent() && observed.isPresent()) {
      PermitMessage report = new PermitMessage.Report(backend(entry), observed.get());
      link.get().send(PermitCodec.encode(report), false);
    }
  }

  /**
   * Requests a permit from another gateway.
   *
   * @param onResponse called once with the response; with a denial if there is none
   */
  private void send(
      String gateway,
      BackendEntry entry,
      int requests,
      Consumer<RateLimitCoordinator.Response> onResponse) {
    Optional<PeerLink> link = network.open(gateway);
    if (link.isEmpty()) {
      onResponse.accept(NO_RESPONSE);
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
      pending.onResponse.accept(NO_RESPONSE);
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
    pending.onResponse.accept(
        switch (verdict) {
          case PermitMessage.Verdict.Granted _ -> new RateLimitCoordinator.Response.Granted();
          case PermitMessage.Verdict.Unlimited _ -> new RateLimitCoordinator.Response.Unlimited();
          case PermitMessage.Verdict.Denied(long availableInMs) ->
              new RateLimitCoordinator.Response.Denied(availableInMs * NS_PER_MS);
          case PermitMessage.Verdict.NotIssuer _ ->
              new RateLimitCoordinator.Response.NotIssuer(Optional.empty());
        });
  }

  private void deliver(
      BackendEntry entry,
      RateLimitCoordinator.Response response,
      long requestedNs,
      Listener listener) {
    switch (response) {
      case RateLimitCoordinator.Response.Granted _ ->
          listener.onGranted(requestedNs + VALIDITY_MS * NS_PER_MS);
      case RateLimitCoordinator.Response.Unlimited _ -> listener.onUnlimited();
      case RateLimitCoordinator.Response.Denied(long availableInNs) ->
          deny(entry, Math.max(MIN_DENIAL_NS, availableInNs), listener);
      case RateLimitCoordinator.Response.NotIssuer _ -> deny(entry, MIN_DENIAL_NS, listener);
    }
  }

  private void deny(BackendEntry entry, long availableInNs, Listener listener) {
    coordinator.recordDenial(name(entry), availableInNs, clock.nowNs());
    listener.onDenied();
  }

  @Override
  public Optional<byte[]> onFrame(byte[] frame) throws IOException {
    Optional<PermitMessage> reply =
        switch (PermitCodec.decode(frame)) {
          case PermitMessage.Request request -> Optional.of(reply(request));
          case PermitMessage.Report(var backend, var observed) -> {
            find(backend).ifPresent(entry -> onReport(entry, observed));
            yield Optional.empty();
          }
          case PermitMessage.Reply _ ->
              throw new MalformedPermitMessageException("reply without a request");
        };
    return reply.map(PermitCodec::encode);
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
          if (response instanceof RateLimitCoordinator.Response.NotIssuer) {
            coordinator.recordConfirmation(name(entry), gateway);
          }
        });
  }

  private void onReport(BackendEntry entry, PermitMessage.Observed observed) {
    record(entry, observed);
    if (issuer(entry).equals(Optional.of(self))) {
      announceNewLimit(entry);
    }
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
