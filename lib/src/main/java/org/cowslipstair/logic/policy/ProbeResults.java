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
 * quantile of the results. The best one is that with the lowest latency among those not hot, else
 * the hot one with the fewest calls. Safe for concurrent use; each change replaces the whole list.
 */
public final class ProbeResults {
  private static final int MAX_RESULTS = 16;
  private static final long MAX_AGE_NS = 1_000_000_000L;
  private static final double HOT_LOAD_QUANTILE = 0.84;

  private final AtomicReference<List<Result>> results = new AtomicReference<>(List.of());

  /** Adds the report of a probe; replaces an earlier one of the same backend server. */
  public void add(BackendName backend, ProbeReport report, long nowNs) {
    long nextCallLatencyNs = estimateNextCallLatencyNs(report);
    Result result = new Result(backend, report.inFlight(), nextCallLatencyNs, nowNs);
    results.updateAndGet(old -> replace(old, backend, Optional.of(result)));
  }

  /** Estimates the latency of one more call; calls in excess of the slots share them. */
  private static long estimateNextCallLatencyNs(ProbeReport report) {
    double load = (report.inFlight() + 1.0) / Math.max(1, report.slots());
    return Math.round(report.latencyNs() * Math.max(1, load));
  }

  /** Picks the best candidate and removes its result; empty without a recent result. */
  public Optional<BackendServer> pickBest(List<BackendServer> candidates, long nowNs) {
    List<Result> recent = recentResults(results.get(), nowNs);
    Optional<Result> best = findBest(recent, candidates);
    if (best.isEmpty()) {
      return Optional.empty();
    }
    BackendName picked = best.get().backend;
    results.updateAndGet(old -> replace(old, picked, Optional.empty()));
    return findByName(candidates, picked);
  }

  private static Optional<Result> findBest(List<Result> recent, List<BackendServer> candidates) {
    int hotThreshold = hotThreshold(recent);
    Optional<Result> best = Optional.empty();
    for (Result result : recent) {
      boolean isCandidate = findByName(candidates, result.backend).isPresent();
      if (isCandidate && (best.isEmpty() || isBetter(result, best.get(), hotThreshold))) {
        best = Optional.of(result);
      }
    }
    return best;
  }

  private static boolean isBetter(Result left, Result right, int hotThreshold) {
    boolean isLeftHot = left.inFlight > hotThreshold;
    boolean isRightHot = right.inFlight > hotThreshold;
    if (isLeftHot != isRightHot) {
      return isRightHot;
    }
    return isLeftHot ? left.inFlight < right.inFlight : left.latencyNs < right.latencyNs;
  }

  private static int hotThreshold(List<Result> recent) {
    if (recent.isEmpty()) {
      return 0;
    }
    int[] inFlightCounts = recent.stream().mapToInt(Result::inFlight).sorted().toArray();
    int index = (int) Math.floor(HOT_LOAD_QUANTILE * (inFlightCounts.length - 1));
    return Arrays.stream(inFlightCounts).skip(index).findFirst().orElse(0);
  }

  private static List<Result> recentResults(List<Result> all, long nowNs) {
    List<Result> recent = new ArrayList<>(all.size());
    for (Result result : all) {
      if (nowNs - result.atNs < MAX_AGE_NS) {
        recent.add(result);
      }
    }
    return recent;
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

  private static Optional<BackendServer> findByName(
      List<BackendServer> candidates, BackendName name) {
    for (BackendServer candidate : candidates) {
      if (candidate.name().equals(name)) {
        return Optional.of(candidate);
      }
    }
    return Optional.empty();
  }

  private record Result(BackendName backend, int inFlight, long latencyNs, long atNs) {}
}
