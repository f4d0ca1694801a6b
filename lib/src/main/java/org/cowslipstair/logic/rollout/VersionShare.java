package org.cowslipstair.logic.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cowslipstair.model.rollout.RolloutOrder;
import org.cowslipstair.model.rollout.RolloutPolicy;
import org.cowslipstair.model.rollout.RolloutStatus;
import org.cowslipstair.model.rollout.ServiceVersion;

/**
 * Decides at one gateway to which versions of one service each send may go. Each send draws for
 * itself, so that the sum over any number of gateways keeps the share, whatever they know of each
 * other. Without a word from the decider a gateway keeps to the unasked share. Not thread-safe.
 */
public final class VersionShare {
  /** Time for which a version that is new to the service is held back, for an order to arrive. */
  static final long HOLD_NS = 2_000_000_000L;

  private final RolloutPolicy policy;
  private final Set<ServiceVersion> present = new HashSet<>();
  private final Map<ServiceVersion, Long> heldUntilNs = new HashMap<>();
  private final Set<ServiceVersion> excluded = new HashSet<>();
  private boolean hasUnversioned;
  private boolean isFirstView = true;
  private Optional<RolloutOrder> order = Optional.empty();
  private Directive directive;
  private long directiveUntilNs;

  /** Creates a share for a service of which nothing is known. */
  public VersionShare(RolloutPolicy policy) {
    this.policy = policy;
    this.directive = new Directive.Share(0);
  }

  /**
   * Applies what the store tells.
   *
   * @param versions versions of the servers of the service
   * @param newHasUnversioned whether a server reports no version
   */
  public void update(
      Optional<RolloutOrder> newOrder,
      Set<ServiceVersion> versions,
      boolean newHasUnversioned,
      long nowNs) {
    holdNewVersions(versions, nowNs);
    Set<ServiceVersion> before = Set.copyOf(present);
    present.clear();
    present.addAll(versions);
    hasUnversioned = newHasUnversioned;
    excluded.retainAll(versions);
    boolean isSameOrder =
        newOrder.isPresent() && order.map(old -> isSame(old, newOrder.get())).orElse(false);
    if (!isSameOrder) {
      // What was being moved to stays excluded when its order is withdrawn or replaced.
      order.filter(VersionShare::isOpen).ifPresent(old -> excluded.add(old.target()));
      directiveUntilNs = nowNs;
      directive = new Directive.Share(0);
    }
    newOrder.ifPresent(
        current -> {
          heldUntilNs.remove(current.target());
          applyStatus(current, isSameOrder && order.map(VersionShare::isOpen).get(), before);
        });
    order = newOrder;
  }

  private void holdNewVersions(Set<ServiceVersion> versions, long nowNs) {
    if (!isFirstView && !present.isEmpty()) {
      for (ServiceVersion version : versions) {
        if (!present.contains(version)) {
          heldUntilNs.putIfAbsent(version, nowNs + HOLD_NS);
        }
      }
    }
    heldUntilNs.values().removeIf(untilNs -> nowNs - untilNs >= 0);
    isFirstView = versions.isEmpty();
  }

  private void applyStatus(
      RolloutOrder current, boolean wasOpen, Set<ServiceVersion> versionsBefore) {
    ServiceVersion target = current.target();
    Optional<RolloutStatus.State> state = statusOf(current);
    if (state.isEmpty() || state.get() == RolloutStatus.State.RUNNING) {
      excluded.remove(target);
    } else if (state.get() == RolloutStatus.State.ROLLED_BACK) {
      excluded.add(target);
    } else if (wasOpen) {
      excluded.remove(target);
      versionsBefore.stream().filter(v -> !v.equals(target)).forEach(excluded::add);
    }
  }

  private static boolean isSame(RolloutOrder order, RolloutOrder other) {
    boolean isOrderedAnew = statusOf(order).isPresent() && statusOf(other).isEmpty();
    return order.target().equals(other.target()) && !isOrderedAnew;
  }

  /** Returns the recorded state of an order; empty if none is recorded for its target. */
  public static Optional<RolloutStatus.State> statusOf(RolloutOrder order) {
    return order
        .status()
        .filter(status -> status.target().equals(order.target()))
        .map(RolloutStatus::state);
  }

  /** Returns whether an order has not ended. */
  public static boolean isOpen(RolloutOrder order) {
    return statusOf(order).filter(RolloutStatus.State::isFinal).isEmpty();
  }

  /** Returns the order in force that has not ended. */
  public Optional<RolloutOrder> openOrder() {
    return order.filter(VersionShare::isOpen);
  }

  /** Returns whether a server of the version to move to is known. */
  public boolean hasTarget() {
    return order.filter(current -> present.contains(current.target())).isPresent();
  }

  /**
   * Applies a directive of the decider.
   *
   * @param untilNs monotonic time until which it holds, unless it rolls back
   */
  public void direct(Directive newDirective, long untilNs) {
    if (!(directive instanceof Directive.OnlyOthers)) {
      directive = newDirective;
      directiveUntilNs = untilNs;
    }
  }

  /** Returns the directive in force; empty if this gateway has not been told lately. */
  public Optional<Directive> directive(long nowNs) {
    boolean holds = directive instanceof Directive.OnlyOthers || nowNs - directiveUntilNs < 0;
    return holds ? Optional.of(directive) : Optional.empty();
  }

  /** Decides for one send. */
  public VersionChoice choose(RandomGenerator random, long nowNs) {
    Optional<RolloutOrder> open = openOrder();
    if (open.isEmpty()) {
      return except(Optional.empty(), nowNs);
    }
    ServiceVersion target = open.get().target();
    if (!hasOthers(target)) {
      return new VersionChoice.Only(target, false);
    }
    return switch (directive(nowNs).orElse(new Directive.Share(unaskedShare()))) {
      case Directive.OnlyOthers _ -> except(Optional.of(target), nowNs);
      case Directive.OnlyTarget _ -> new VersionChoice.Only(target, !present.contains(target));
      case Directive.Share(double share) ->
          present.contains(target) && random.nextDouble() < share
              ? new VersionChoice.Only(target, true)
              : except(Optional.of(target), nowNs);
    };
  }

  private double unaskedShare() {
    return ExposurePlan.unaskedShare(policy);
  }

  private boolean hasOthers(ServiceVersion target) {
    return hasUnversioned
        || present.stream().anyMatch(v -> !v.equals(target) && !excluded.contains(v));
  }

  /** Leaves out what is excluded or held back, as long as something else is there. */
  private VersionChoice except(Optional<ServiceVersion> target, long nowNs) {
    if (excluded.isEmpty() && heldUntilNs.isEmpty() && target.isEmpty()) {
      return new VersionChoice.Any();
    }
    Set<ServiceVersion> out = new HashSet<>(excluded);
    target.ifPresent(out::add);
    heldUntilNs.forEach(
        (version, untilNs) -> {
          if (nowNs - untilNs < 0) {
            out.add(version);
          }
        });
    boolean hasRest = hasUnversioned || present.stream().anyMatch(v -> !out.contains(v));
    return hasRest ? new VersionChoice.Except(out) : withoutRest(nowNs, target);
  }

  private VersionChoice withoutRest(long nowNs, Optional<ServiceVersion> target) {
    Set<ServiceVersion> held = new HashSet<>(heldUntilNs.keySet());
    held.removeIf(version -> nowNs - heldUntilNs.getOrDefault(version, nowNs) >= 0);
    boolean onlyHeldIsLeft = target.isEmpty() && !held.isEmpty();
    return onlyHeldIsLeft && !excluded.isEmpty()
        ? new VersionChoice.Except(excluded)
        : new VersionChoice.Any();
  }
}
