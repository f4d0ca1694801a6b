package org.cowslipstair.edge.exchange;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.cowslipstair.edge.backend.BackendEntry;
import org.cowslipstair.logic.placement.BackendStats;
import org.cowslipstair.logic.placement.CandidateOrder;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.ServiceName;

/** Backend servers that may still be probed for one send, and how many probes are left for them. */
final class ProbeCandidates {
  /** Maximum number of probes for one send, normally and while the probe budget is scarce. */
  private static final int MAX_PROBES = 10;

  private static final int MAX_PROBES_WHEN_SCARCE = 3;

  /** Share of the probes for the own zone, if there are candidates in other zones. */
  private static final double LOCAL_PROBES_SHARE = 0.7;

  private final Deque<BackendEntry> local;
  private final Deque<BackendEntry> others;
  private final int size;
  private final int maxProbes;
  private final int maxLocalProbes;
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
    Map<BackendStats, BackendEntry> eligible = new LinkedHashMap<>();
    context.table().eligible(service).forEach(entry -> eligible.put(entry.stats(), entry));
    CandidateOrder.Candidates ordered =
        context
            .fleet()
            .order()
            .order(
                List.copyOf(eligible.keySet()),
                excluded,
                stats -> entryOf(eligible, stats).hasIdleConnection(),
                context.nowNs());
    this.local = usable(ordered.local(), eligible, canProbe);
    this.others = usable(ordered.others(), eligible, canProbe);
    this.size = local.size() + others.size();
    this.maxProbes = context.prober().isScarce() ? MAX_PROBES_WHEN_SCARCE : MAX_PROBES;
    this.maxLocalProbes =
        others.isEmpty() ? maxProbes : (int) Math.ceil(maxProbes * LOCAL_PROBES_SHARE);
  }

  private static Deque<BackendEntry> usable(
      List<BackendStats> ordered,
      Map<BackendStats, BackendEntry> eligible,
      Predicate<BackendEntry> canProbe) {
    Deque<BackendEntry> usable = new ArrayDeque<>();
    for (BackendStats stats : ordered) {
      BackendEntry entry = entryOf(eligible, stats);
      if (canProbe.test(entry)) {
        usable.add(entry);
      }
    }
    return usable;
  }

  private static BackendEntry entryOf(Map<BackendStats, BackendEntry> entries, BackendStats stats) {
    BackendEntry entry = entries.get(stats);
    if (entry == null) {
      throw new IllegalStateException("statistics without a backend entry");
    }
    return entry;
  }

  /** Returns the number of backend servers that could be probed initially. */
  int size() {
    return size;
  }

  /** Returns the number of probes taken so far. */
  int probeCount() {
    return probeCount;
  }

  /** Returns whether a backend server of the own zone can be probed. */
  boolean hasLocal() {
    return !local.isEmpty() && probeCount < maxLocalProbes;
  }

  /** Returns whether a backend server of another zone can be probed. */
  boolean hasInOtherZones() {
    return !others.isEmpty() && probeCount < maxProbes;
  }

  /** Takes the next backend server of the own zone. */
  BackendEntry takeLocal() {
    probeCount++;
    return local.remove();
  }

  /** Takes the next backend server of another zone. */
  BackendEntry takeInOtherZones() {
    probeCount++;
    return others.remove();
  }
}
