package org.cowslipstair.logic.ratelimit;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.cowslipstair.logic.budget.GatewayRanking;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.traffic.RateLimit;

/**
 * Decides which gateway issues the permits of a backend server that advertises a rate limit, and
 * issues them where it is this one. The issuer is the first reachable gateway in the ranking of the
 * backend server. It uses the whole limit only if the gateways that rank next have confirmed that
 * they do not issue permits themselves: they may know another fleet. Not thread-safe.
 */
public final class RateLimitCoordinator {
  /**
   * Number of next gateways that confirm an issuer. More than one, since several gateways that
   * others do not know yet may rank next to each other.
   */
  private static final int CONFIRMING_GATEWAYS = 3;

  /** Number of remembered backend servers at which those that are not needed are removed. */
  private static final int PRUNING_THRESHOLD = 512;

  private final String self;
  private final PermitIssuer permitIssuer;
  private final GatewayRanking ranking = new GatewayRanking();
  private final Map<BackendName, Long> deniedUntilNs = new HashMap<>();
  private final Map<BackendName, Set<String>> confirmedBy = new HashMap<>();

  /** Response to a request for a permit. */
  public sealed interface Response {
    /** One request may be sent now. */
    record Granted() implements Response {}

    /** The backend server does not advertise a limit any more. */
    record Unlimited() implements Response {}

    /**
     * No permit is available.
     *
     * @param availableInNs expected time until the next one is
     */
    record Denied(long availableInNs) implements Response {}

    /**
     * This gateway does not issue the permits of the backend server.
     *
     * @param issuer gateway that does; empty if the fleet is unknown
     */
    record NotIssuer(Optional<String> issuer) implements Response {}
  }

  /**
   * Creates a coordinator.
   *
   * @param self name of this gateway
   */
  public RateLimitCoordinator(String self, InvariantMonitor monitor) {
    this.self = self;
    this.permitIssuer = new PermitIssuer(monitor);
  }

  /**
   * Returns the gateway that issues the permits of a backend server; empty if the fleet is unknown.
   *
   * @param gateways names of all known gateways; must be immutable
   * @param isUnreachable whether a gateway has been found unreachable from here
   */
  public Optional<String> issuer(
      BackendName backend, Collection<String> gateways, Predicate<String> isUnreachable) {
    for (String gateway : ranking.ranked(backend.value(), gateways)) {
      if (gateway.equals(self) || !isUnreachable.test(gateway)) {
        return Optional.of(gateway);
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the unreachable gateways that would issue the permits of a backend server if they were
   * reachable.
   */
  public List<String> skipped(
      BackendName backend, Collection<String> gateways, Predicate<String> isUnreachable) {
    return ranking.ranked(backend.value(), gateways).stream()
        .takeWhile(gateway -> !gateway.equals(self) && isUnreachable.test(gateway))
        .toList();
  }

  /**
   * Responds to a request for a permit, of this gateway or another one.
   *
   * @param limit limit that the backend server advertises; empty if it advertises none
   * @param requests number of requests that the permit is for, probes included; 0 to learn only
   *     whether this gateway issues permits
   * @param gateways names of all known gateways; must be immutable
   * @param isUnreachable whether a gateway has been found unreachable from here
   */
  public Response respond(
      BackendName backend,
      Optional<RateLimit> limit,
      int requests,
      Collection<String> gateways,
      Predicate<String> isUnreachable,
      long nowNs) {
    if (limit.isEmpty()) {
      return new Response.Unlimited();
    }
    Optional<String> issuer = issuer(backend, gateways, isUnreachable);
    if (!issuer.equals(Optional.of(self))) {
      return new Response.NotIssuer(issuer);
    }
    if (requests == 0) {
      return new Response.Denied(0);
    }
    boolean isFirst = ranking.ranked(backend.value(), gateways).getFirst().equals(self);
    PermitIssuer.Role role =
        isFirst && unconfirmed(backend, gateways, isUnreachable).isEmpty()
            ? PermitIssuer.Role.PRIMARY
            : PermitIssuer.Role.STAND_IN;
    return switch (permitIssuer.tryIssue(backend, limit.get(), role, requests, nowNs)) {
      case PermitIssuer.Decision.Granted _ -> new Response.Granted();
      case PermitIssuer.Decision.Denied(long availableInNs) -> new Response.Denied(availableInNs);
    };
  }

  /**
   * Returns the gateways that have yet to confirm that they do not issue the permits of a backend
   * server, so that this gateway can use the whole limit; empty if this gateway is not first in the
   * ranking.
   */
  public List<String> unconfirmed(
      BackendName backend, Collection<String> gateways, Predicate<String> isUnreachable) {
    List<String> ranked = ranking.ranked(backend.value(), gateways);
    if (ranked.isEmpty() || !ranked.getFirst().equals(self)) {
      return List.of();
    }
    Set<String> confirmed = confirmedBy.getOrDefault(backend, Set.of());
    return ranked.stream()
        .skip(1)
        .filter(gateway -> !isUnreachable.test(gateway))
        .limit(CONFIRMING_GATEWAYS)
        .filter(gateway -> !confirmed.contains(gateway))
        .toList();
  }

  /** Records that another gateway does not issue the permits of a backend server. */
  public void recordConfirmation(BackendName backend, String gateway) {
    if (confirmedBy.size() >= PRUNING_THRESHOLD && !confirmedBy.containsKey(backend)) {
      confirmedBy.clear();
    }
    confirmedBy.computeIfAbsent(backend, _ -> new HashSet<>()).add(gateway);
  }

  /** Records that no permit is available for a backend server for the given time. */
  public void recordDenial(BackendName backend, long availableInNs, long nowNs) {
    if (deniedUntilNs.size() >= PRUNING_THRESHOLD) {
      deniedUntilNs.values().removeIf(untilNs -> nowNs - untilNs >= 0);
    }
    deniedUntilNs.put(backend, nowNs + availableInNs);
  }

  /**
   * Returns the expected time until a permit is available for a backend server; 0 if one may be
   * available now.
   */
  public long availableInNs(BackendName backend, long nowNs) {
    return Math.max(0, deniedUntilNs.getOrDefault(backend, nowNs) - nowNs);
  }

  /** Returns the number of permits issued by this gateway. */
  public long issuedCount() {
    return permitIssuer.issuedCount();
  }
}
