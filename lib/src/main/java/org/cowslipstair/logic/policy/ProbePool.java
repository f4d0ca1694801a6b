package org.cowslipstair.logic.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.port.BackendProbe.ProbeReport;

/**
 * Recent probe results of one service. A backend server is hot when it reports more calls than a
 * quantile of the results; the cold one with the lowest latency is best, else the hot one with the
 * fewest calls. Safe for concurrent use; each change replaces the whole list.
 */
public final class ProbePool {
  private static final int MAX_RESULTS = 16;
  private static final long MAX_AGE_NS = 1_000_000_000L;
  private static final double HOT_QUANTILE = 0.84;

  private final AtomicReference<List<Result>> results = new AtomicReference<>(List.of());

  /** Adds the report of a probe. */
  public void add(BackendName backend, ProbeReport report, long nowNs) {
    long atNextCallNs = latencyAtNextCallNs(report);
    Result added = new Result(backend, report.inFlight(), atNextCallNs, nowNs);
    results.updateAndGet(old -> replace(old, backend, Optional.of(added)));
  }

  /** Returns the latency that one more call would meet, as calls past the slots share them. */
  private static long latencyAtNextCallNs(ProbeReport report) {
    double load = (report.inFlight() + 1.0) / Math.max(1, report.slots());
    return Math.round(report.latencyNs() * Math.max(1, load));
  }

  /** Picks the best candidate by the results; each result is used once. */
  public Optional<BackendServer> best(List<BackendServer> candidates, long nowNs) {
    List<Result> fresh = fresh(results.get(), nowNs);
    Optional<Result> best = choose(fresh, candidates);
    if (best.isEmpty()) {
      return Optional.empty();
    }
    BackendName chosen = best.get().backend;
    results.updateAndGet(old -> replace(old, chosen, Optional.empty()));
    return find(candidates, chosen);
  }

  private static Optional<Result> choose(List<Result> fresh, List<BackendServer> candidates) {
    int hotAbove = hotThreshold(fresh);
    Optional<Result> best = Optional.empty();
    for (Result result : fresh) {
      boolean candidate = find(candidates, result.backend).isPresent();
      if (candidate && (best.isEmpty() || isBetter(result, best.get(), hotAbove))) {
        best = Optional.of(result);
      }
    }
    return best;
  }

  private static boolean isBetter(Result left, Result right, int hotAbove) {
    boolean leftHot = left.inFlight > hotAbove;
    boolean rightHot = right.inFlight > hotAbove;
    if (leftHot != rightHot) {
      return rightHot;
    }
    return leftHot ? left.inFlight < right.inFlight : left.latencyNs < right.latencyNs;
  }

  private static int hotThreshold(List<Result> fresh) {
    if (fresh.isEmpty()) {
      return 0;
    }
    int[] loads = fresh.stream().mapToInt(Result::inFlight).sorted().toArray();
    int index = (int) Math.floor(HOT_QUANTILE * (loads.length - 1));
    return Arrays.stream(loads).skip(index).findFirst().orElse(0);
  }

  private static List<Result> fresh(List<Result> all, long nowNs) {
    List<Result> fresh = new ArrayList<>(all.size());
    for (Result result : all) {
      if (nowNs - result.atNs < MAX_AGE_NS) {
        fresh.add(result);
      }
    }
    return fresh;
  }

  private static List<Result> replace(
      List<Result> old, BackendName backend, Optional<Result> replacement) {
    List<Result> copy = new ArrayList<>(old.size() + 1);
    for (Result result : old) {
      if (!result.backend.equals(backend)) {
        copy.add(result);
      }
    }
    replacement.ifPresent(copy::add);
    int excess = Math.max(0, copy.size() - MAX_RESULTS);
    return List.copyOf(copy.subList(excess, copy.size()));
  }

  private static Optional<BackendServer> find(List<BackendServer> candidates, BackendName name) {
    for (BackendServer candidate : candidates) {
      if (candidate.name().equals(name)) {
        return Optional.of(candidate);
      }
    }
    return Optional.empty();
  }

  private record Result(BackendName backend, int inFlight, long latencyNs, long atNs) {}
}
