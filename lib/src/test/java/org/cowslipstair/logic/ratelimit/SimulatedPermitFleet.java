package org.cowslipstair.logic.ratelimit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.traffic.RateLimit;

/**
 * Gateways that exchange permits of one backend server on a virtual clock, over links with delays
 * and cuts. Every gateway knows the limit from the start.
 */
final class SimulatedPermitFleet {
  static final long NS_PER_MS = 1_000_000L;
  private static final long MAX_DELAY_NS = 4 * NS_PER_MS;
  private static final long VALIDITY_NS = 100 * NS_PER_MS;
  private static final long SILENCE_NS = 650 * NS_PER_MS;
  private static final long RECONNECT_NS = 1_000 * NS_PER_MS;
  private static final BackendName BACKEND = new BackendName("b");

  final List<Long> arrivalsNs = new ArrayList<>();
  private final Random random;
  private final RateLimit limit;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atNs));
  private final Map<String, Gateway> gateways = new HashMap<>();
  private BiPredicate<String, String> isCut = (_, _) -> false;
  private long nowNs;

  private record Event(long atNs, Runnable action) {}

  private static final class Gateway {
    final String name;
    RateLimitCoordinator coordinator;
    List<String> view = List.of();
    final Set<String> unreachable = new HashSet<>();
    final Set<String> suspected = new HashSet<>();

    Gateway(String name) {
      this.name = name;
      this.coordinator = new RateLimitCoordinator(name, InvariantMonitor.failing());
    }
  }

  SimulatedPermitFleet(long seed, double requestsPerSecond) {
    this.random = new Random(seed);
    this.limit = new RateLimit(requestsPerSecond);
  }

  /** Adds a gateway that knows the given gateways. */
  void add(String name, List<String> view) {
    Gateway gateway = new Gateway(name);
    gateway.view = view;
    gateways.put(name, gateway);
  }

  void setView(String name, List<String> view) {
    find(name).view = view;
  }

  /** Cuts the links of the pairs of gateways for which the predicate holds. */
  void cut(BiPredicate<String, String> newCut) {
    isCut = newCut;
  }

  /** Restarts a gateway, which forgets everything but its view of the fleet. */
  void restart(String name) {
    List<String> view = find(name).view;
    add(name, view);
  }

  /** Runs until the given time; requests arrive at random gateways with the given mean interval. */
  void runUntil(long endNs, long meanIntervalNs) {
    List<String> names = List.copyOf(gateways.keySet());
    while (nowNs < endNs) {
      long nextRequestNs = nowNs + 1 + (long) (random.nextDouble() * 2 * meanIntervalNs);
      while (!events.isEmpty() && events.peek().atNs <= nextRequestNs) {
        Event event = events.remove();
        nowNs = Math.max(nowNs, event.atNs);
        event.action.run();
      }
      nowNs = nextRequestNs;
      acquire(find(names.get(random.nextInt(names.size()))));
    }
  }

  /** Returns the largest number of requests that arrived within the given time. */
  int maxArrivalsWithin(long windowNs) {
    List<Long> sorted = arrivalsNs.stream().sorted().toList();
    int max = 0;
    int first = 0;
    for (int last = 0; last < sorted.size(); last++) {
      while (sorted.get(last) - sorted.get(first) > windowNs) {
        first++;
      }
      max = Math.max(max, last - first + 1);
    }
    return max;
  }

  private Gateway find(String name) {
    return Optional.ofNullable(gateways.get(name)).orElseThrow();
  }

  private void acquire(Gateway gateway) {
    if (gateway.coordinator.availableInNs(BACKEND, nowNs) > 0) {
      return;
    }
    long requestedNs = nowNs;
    Consumer<RateLimitCoordinator.Response> onResponse =
        response -> {
          switch (response) {
            case RateLimitCoordinator.Response.Granted _ when nowNs < requestedNs + VALIDITY_NS ->
                arrivalsNs.add(nowNs + delayNs());
            case RateLimitCoordinator.Response.Denied(long availableInNs) ->
                gateway.coordinator.recordDenial(BACKEND, availableInNs, nowNs);
            default -> {
              // A late permit, or a gateway that does not issue any.
            }
          }
        };
    Optional<String> issuer =
        gateway.coordinator.issuer(BACKEND, gateway.view, gateway.unreachable::contains);
    if (issuer.isEmpty()) {
      return;
    }
    if (issuer.get().equals(gateway.name)) {
      onResponse.accept(respond(gateway, 1));
    } else {
      request(gateway, issuer.get(), 1, onResponse);
    }
  }

  private void request(
      Gateway gateway,
      String to,
      int requests,
      Consumer<RateLimitCoordinator.Response> onResponse) {
    if (isCut.test(gateway.name, to)) {
      suspect(gateway, to);
      return;
    }
    schedule(
        delayNs(),
        () -> {
          RateLimitCoordinator.Response response = respond(find(to), requests);
          schedule(delayNs(), () -> onResponse.accept(response));
        });
  }

  private void suspect(Gateway gateway, String to) {
    if (!gateway.suspected.add(to)) {
      return;
    }
    schedule(
        SILENCE_NS,
        () -> {
          if (isCut.test(gateway.name, to)) {
            gateway.unreachable.add(to);
          } else {
            gateway.unreachable.remove(to);
          }
          gateway.suspected.remove(to);
          if (gateway.unreachable.contains(to)) {
            schedule(RECONNECT_NS, () -> suspect(gateway, to));
          }
        });
  }

  private RateLimitCoordinator.Response respond(Gateway gateway, int requests) {
    for (String other :
        gateway.coordinator.unconfirmed(BACKEND, gateway.view, gateway.unreachable::contains)) {
      request(
          gateway,
          other,
          0,
          response -> {
            if (response instanceof RateLimitCoordinator.Response.NotIssuer) {
              gateway.coordinator.recordConfirmation(BACKEND, other);
            }
          });
    }
    RateLimitCoordinator.Response response =
        gateway.coordinator.respond(
            BACKEND,
            Optional.of(limit),
            requests,
            gateway.view,
            gateway.unreachable::contains,
            nowNs);
    if (response instanceof RateLimitCoordinator.Response.NotIssuer(var issuer)
        && issuer.filter(name -> isCut.test(gateway.name, name)).isPresent()) {
      suspect(gateway, issuer.get());
    }
    return response;
  }

  private void schedule(long delayNs, Runnable action) {
    events.add(new Event(nowNs + delayNs, action));
  }

  private long delayNs() {
    return (long) (random.nextDouble() * MAX_DELAY_NS);
  }
}
