package org.cowslipstair.logic.quota;

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
import java.util.function.Function;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.model.tenant.TenantName;

/**
 * Gateways that issue the permits of one tenant on a virtual clock, over links with delays, losses
 * and cuts.
 */
final class SimulatedQuotaFleet {
  static final long NS_PER_MS = 1_000_000L;
  private static final long MAX_DELAY_NS = 2 * NS_PER_MS;
  private static final long TIMEOUT_NS = 400 * NS_PER_MS;
  private static final long UNREACHABLE_NS = 400 * NS_PER_MS;
  private static final long TICK_NS = 200 * NS_PER_MS;
  private static final TenantName TENANT = new TenantName("t");

  final List<Run> runs = new ArrayList<>();
  int refusedCount;
  private final Random random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atNs));
  private final Map<String, Gateway> gateways = new HashMap<>();
  private BiPredicate<String, String> isCut = (_, _) -> false;
  private double lossRatio;
  private Function<String, QuotaBounds> bounds;
  private long nowNs;

  /** A request that has run: when its caller sent it and when it reached a backend server. */
  record Run(long sentNs, long runNs) {}

  private record Event(long atNs, Runnable action) {}

  private final class Gateway {
    final String name;
    final List<String> view;
    final QuotaCoordinator coordinator;
    final DenialMemory denials = new DenialMemory();
    final StartAllowance startAllowance;
    final Set<String> unreachable = new HashSet<>();
    long frozenUntilNs;
    boolean isGone;

    Gateway(String name, List<String> view, boolean firstStart) {
      this.name = name;
      this.view = view;
      this.startAllowance = new StartAllowance(firstStart, nowNs);
      this.coordinator =
          new QuotaCoordinator(
              name,
              new QuotaIssuer(
                  1 + random.nextInt(1 << 30),
                  firstStart,
                  InvariantMonitor.failing(),
                  random,
                  nowNs),
              new ShareLender(nowNs));
      schedule(0, this::tick);
    }

    private void tick() {
      if (isGone) {
        return;
      }
      if (nowNs < frozenUntilNs) {
        schedule(frozenUntilNs - nowNs, this::tick);
        return;
      }
      schedule(TICK_NS, this::tick);
      for (String skipped : coordinator.toReach(view, unreachable::contains, nowNs)) {
        send(skipped, ShareOffer.none(), Optional.empty(), _ -> {});
      }
      renew();
    }

    private void renew() {
      Optional<String> preferred = coordinator.preferred(view, unreachable::contains, nowNs);
      if (preferred.isEmpty()) {
        return;
      }
      String gateway = preferred.get();
      Optional<String> holder = coordinator.heldUpBy(gateway, nowNs);
      if (holder.equals(Optional.of(name))) {
        coordinator.releaseSelf(nowNs);
      } else if (holder.isPresent()) {
        ShareOffer release = coordinator.release(holder.get());
        send(
            holder.get(),
            release,
            Optional.empty(),
            reply -> {
              if (reply.isPresent()) {
                coordinator.recordReleased(reply.get());
                renew();
              }
            });
      }
      if (gateway.equals(name)) {
        coordinator.respondToSelf(Optional.empty(), windowNs(), view, nowNs);
      } else if (coordinator.needsRenewal(gateway, nowNs)) {
        send(
            gateway,
            coordinator.offer(gateway, windowNs(), nowNs),
            Optional.empty(),
            reply -> {
              if (reply.isPresent() && coordinator.canLend(gateway, nowNs)) {
                renew();
              }
            });
      }
    }

    private long windowNs() {
      return bounds.apply(name).windowNs();
    }

    void acquire(int attempts, long sentNs) {
      if (denials.isPaused(TENANT, nowNs)) {
        refuse(denials.next(TENANT, nowNs).isOverQuota(), sentNs);
        return;
      }
      Optional<String> issuer = coordinator.issuerToAsk(view, unreachable::contains, nowNs);
      if (issuer.isEmpty()) {
        refuse(false, sentNs);
        return;
      }
      QuotaBounds own = bounds.apply(name);
      Optional<QuotaCoordinator.Wanted> wanted =
          Optional.of(new QuotaCoordinator.Wanted(TENANT, own));
      if (issuer.get().equals(name)) {
        conclude(coordinator.respondToSelf(wanted, windowNs(), view, nowNs), sentNs);
        return;
      }
      ShareOffer offer = coordinator.offer(issuer.get(), windowNs(), nowNs);
      boolean isFirstContact = offer.issuerId() == 0;
      send(
          issuer.get(),
          offer,
          wanted,
          reply -> {
            boolean isDenied =
                reply.isPresent()
                    && reply.get().decision().orElseThrow() instanceof QuotaIssuer.Decision.Denied;
            if (isDenied && isFirstContact && attempts > 1) {
              acquire(attempts - 1, sentNs);
            } else if (reply.isEmpty()) {
              refuse(false, sentNs);
            } else {
              conclude(reply.get(), sentNs);
            }
          });
    }

    private void conclude(QuotaCoordinator.Reply reply, long sentNs) {
      switch (reply.decision().orElseThrow()) {
        case QuotaIssuer.Decision.Granted _ -> runs.add(new Run(sentNs, nowNs));
        case QuotaIssuer.Decision.Denied denied -> {
          denials.record(TENANT, denied, nowNs);
          refuse(denied.isOverQuota(), sentNs);
        }
      }
    }

    private void refuse(boolean isOverQuota, long sentNs) {
      if (!isOverQuota && startAllowance.tryTake(TENANT, nowNs)) {
        runs.add(new Run(sentNs, nowNs));
      } else {
        refusedCount++;
      }
    }

    private void send(
        String to,
        ShareOffer offer,
        Optional<QuotaCoordinator.Wanted> wanted,
        Consumer<Optional<QuotaCoordinator.Reply>> onReply) {
      boolean[] isAnswered = new boolean[1];
      schedule(
          TIMEOUT_NS,
          () -> {
            if (!isAnswered[0] && !isGone) {
              isAnswered[0] = true;
              coordinator.recordSilence(to, nowNs);
              onReply.accept(Optional.empty());
            }
          });
      schedule(UNREACHABLE_NS, () -> setUnreachable(to));
      deliver(
          name,
          to,
          receiver -> {
            QuotaCoordinator.Reply reply =
                receiver.coordinator.respond(
                    name,
                    offer,
                    wanted.map(
                        w -> new QuotaCoordinator.Wanted(w.tenant(), bounds.apply(receiver.name))),
                    receiver.view,
                    nowNs);
            deliver(
                to,
                name,
                sender -> {
                  if (sender != this) {
                    return;
                  }
                  unreachable.remove(to);
                  coordinator.recordReply(to, reply, nowNs);
                  if (!isAnswered[0]) {
                    isAnswered[0] = true;
                    onReply.accept(Optional.of(reply));
                  }
                });
          });
    }

    private void setUnreachable(String gateway) {
      Gateway other = gateways.get(gateway);
      if (other == null || nowNs < other.frozenUntilNs || isCut.test(name, gateway)) {
        unreachable.add(gateway);
      }
    }
  }

  SimulatedQuotaFleet(long seed, QuotaBounds bounds) {
    this.random = new Random(seed);
    this.bounds = _ -> bounds;
  }

  /** Adds a gateway that knows the given gateways. */
  void add(String name, List<String> view, boolean firstStart) {
    Gateway previous = gateways.put(name, new Gateway(name, view, firstStart));
    if (previous != null) {
      previous.isGone = true;
    }
  }

  /** Restarts a gateway, which forgets everything but its view of the fleet. */
  void restart(String name) {
    add(name, find(name).view, false);
  }

  void freeze(String name, long forNs) {
    find(name).frozenUntilNs = nowNs + forNs;
  }

  /** Cuts the links of the pairs of gateways for which the predicate holds. */
  void cut(BiPredicate<String, String> newCut) {
    isCut = newCut;
  }

  void lose(double ratio) {
    lossRatio = ratio;
  }

  /** Sets the limit that each gateway knows. */
  void setBounds(Function<String, QuotaBounds> newBounds) {
    bounds = newBounds;
  }

  /** Runs until the given time; requests arrive at the chosen gateways with a mean interval. */
  void runUntil(long endNs, double requestsPerSecond, Function<Random, String> choice) {
    double meanNs = 1e9 / requestsPerSecond;
    while (nowNs < endNs) {
      long nextNs = nowNs + 1 + (long) (-Math.log(1 - random.nextDouble()) * meanNs);
      while (!events.isEmpty() && events.peek().atNs <= nextNs) {
        Event event = events.remove();
        nowNs = Math.max(nowNs, event.atNs);
        event.action.run();
      }
      nowNs = nextNs;
      Gateway gateway = find(choice.apply(random));
      if (nowNs >= gateway.frozenUntilNs) {
        gateway.acquire(2, nowNs);
      }
    }
  }

  /** Returns the largest number of requests that were sent and ran within a window. */
  int maxRunsWithin(long windowNs, long fromNs) {
    List<Run> sorted =
        runs.stream()
            .filter(run -> run.sentNs >= fromNs)
            .sorted(Comparator.comparingLong(Run::sentNs))
            .toList();
    int max = 0;
    for (int first = 0; first < sorted.size(); first++) {
      long endNs = sorted.get(first).sentNs + windowNs;
      int count = 0;
      for (int i = first; i < sorted.size() && sorted.get(i).sentNs <= endNs; i++) {
        count += sorted.get(i).runNs <= endNs ? 1 : 0;
      }
      max = Math.max(max, count);
    }
    return max;
  }

  private Gateway find(String name) {
    return Optional.ofNullable(gateways.get(name)).orElseThrow();
  }

  private void deliver(String from, String to, Consumer<Gateway> action) {
    if (isCut.test(from, to) || random.nextDouble() < lossRatio) {
      return;
    }
    long delayNs = (long) (random.nextDouble() * MAX_DELAY_NS);
    schedule(
        delayNs,
        () -> {
          Gateway receiver = find(to);
          if (nowNs < receiver.frozenUntilNs) {
            schedule(receiver.frozenUntilNs - nowNs, () -> action.accept(find(to)));
          } else {
            action.accept(receiver);
          }
        });
  }

  private void schedule(long delayNs, Runnable action) {
    events.add(new Event(nowNs + delayNs, action));
  }
}
