package org.cowslipstair.edge.exchange;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.cowslipstair.edge.backend.BackendEntry;
import org.cowslipstair.logic.placement.CandidateOrder;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.ServiceName;
import org.jspecify.annotations.Nullable;

/**
 * Backend servers that may still be probed for one send, and how many probes are left for them.
 * Those of other zones are ordered only when they are needed: there are many, and most requests
 * find a backend server in their own zone.
 */
final class ProbeCandidates {
  /** Maximum number of probes for one send, normally and while the probe budget is scarce. */
  private static final int MAX_PROBES = 10;

  private static final int MAX_PROBES_WHEN_SCARCE = 3;

  /** Share of the probes for the own zone, if there are candidates in other zones. */
  private static final double LOCAL_PROBES_SHARE = 0.7;

  private final CandidateOrder order;
  private final List<BackendEntry> eligible;
  private final Set<BackendName> excluded;
  private final Predicate<BackendEntry> canProbe;
  private final long nowNs;
  private final Deque<BackendEntry> local;
  private final int maxProbes;
  private final int maxLocalProbes;
  private @Nullable Deque<BackendEntry> others;
  private int probeCount;

  /**
   * Orders the eligible backend servers of a service.
   *
   * @param excluded backend servers that must not be probed
   * @param canProbe whether a backend server may be probed now
   */
  ProbeCandidates(
      ExchangeContext context,
      ServiceName service,
      Set<BackendName> excluded,
      Predicate<BackendEntry> canProbe) {
    this.order = context.fleet().order();
    this.eligible = context.table().eligible(service);
    this.excluded = excluded;
    this.canProbe = canProbe;
    this.nowNs = context.nowNs();
    this.local = usable(order.local(eligible, excluded, nowNs));
    this.maxProbes = context.prober().isScarce() ? MAX_PROBES_WHEN_SCARCE : MAX_PROBES;
    this.maxLocalProbes =
        eligible.stream().allMatch(order::isLocal)
            ? maxProbes
            : (int) Math.ceil(maxProbes * LOCAL_PROBES_SHARE);
  }

  private Deque<BackendEntry> usable(List<BackendEntry> ordered) {
    Deque<BackendEntry> usable = new ArrayDeque<>(ordered);
    usable.removeIf(canProbe.negate());
    return usable;
  }

  private Deque<BackendEntry> others() {
    if (others == null) {
      others = usable(order.others(eligible, excluded, nowNs));
    }
    return others;
  }

  /** Returns whether no backend server can be probed. */
  boolean isEmpty() {
    return local.isEmpty() && others().isEmpty();
  }

  /** Returns the number of probes taken so far. */
  int probeCount() {
    return probeCount;
  }

  /** Returns whether a backend server of the own zone can be probed. */
  boolean hasLocal() {
    return !local.isEmpty() && probeCount < maxLocalProbes;
  }

  /** Returns whether a backend server can be probed that comes after those of the own zone. */
  boolean hasOthers() {
    return probeCount < maxProbes && !others().isEmpty();
  }

  /** Takes the next backend server of the own zone. */
  BackendEntry takeLocal() {
    probeCount++;
    return local.remove();
  }

  /** Takes the next backend server that comes after those of the own zone. */
  BackendEntry takeOther() {
    probeCount++;
    return others().remove();
  }
}
