package org.cowslipstair.soak.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cowslipstair.soak.Bounds;
import org.cowslipstair.soak.check.Ledger.Arrival;

/** Checks at the end of a run what concerns the whole fleet. */
public final class FleetChecks {
  private static final long NS_PER_MS = 1_000_000L;
  private static final long SECOND_NS = 1_000_000_000L;

  /** Room for the delays of a busy machine, which the daemons cannot help. */
  private static final long MARGIN_NS = 500 * NS_PER_MS;

  private final Bounds bounds;
  private final Ledger ledger;
  private final Calm calm;
  private final Violations violations;

  /** Creates the checks. */
  public FleetChecks(Bounds bounds, Ledger ledger, Calm calm, Violations violations) {
    this.bounds = bounds;
    this.ledger = ledger;
    this.calm = calm;
    this.violations = violations;
  }

  /**
   * A span in which a backend server must not get new work, but for a bound at its begin.
   *
   * @param acceptedNs time at which the store accepted the change
   */
  public record Closed(String promise, String backend, long acceptedNs, long untilNs) {}

  /** A span in which a backend server was cold. */
  public record Cold(String backend, long fromNs, long untilNs) {}

  /** Checks the shared budget for sends beyond the first of each request. */
  public void checkRetryBudget() {
    Map<String, List<Long>> firsts = new HashMap<>();
    Map<String, List<Long>> repeats = new HashMap<>();
    for (Ledger.Entry entry : ledger.all()) {
      List<Arrival> arrivals = entry.arrivals();
      for (int i = 0; i < arrivals.size(); i++) {
        (i == 0 ? firsts : repeats)
            .computeIfAbsent(arrivals.get(i).service(), _ -> new ArrayList<>())
            .add(arrivals.get(i).atNs());
      }
    }
    repeats.forEach(
        (service, times) -> checkWindows(service, firsts.getOrDefault(service, List.of()), times));
  }

  private void checkWindows(String service, List<Long> firsts, List<Long> repeats) {
    long windowNs = bounds.windowMs() * NS_PER_MS;
    for (long endNs : repeats) {
      long sends = countIn(repeats, endNs - windowNs, endNs);
      long requests =
          Math.max(
              countIn(firsts, endNs - windowNs, endNs),
              countIn(firsts, endNs - 2 * windowNs, endNs - windowNs));
      double allowed = bounds.retryRatio() * requests + bounds.retrySlack();
      if (sends > allowed) {
        violations.add(
            endNs,
            "retry budget",
            "%s got %d repeats in a window of %d requests".formatted(service, sends, requests));
        return;
      }
    }
  }

  /** Checks that cold backend servers got no more than they bear in any second. */
  public void checkCold(List<Cold> spans) {
    Map<String, List<Long>> arrivals = arrivalsByBackend();
    for (Cold span : spans) {
      List<Long> cold =
          arrivals.getOrDefault(span.backend(), List.of()).stream()
              .filter(ns -> ns >= span.fromNs() && ns <= span.untilNs())
              .toList();
      for (long endNs : cold) {
        long inSecond = countIn(cold, endNs - SECOND_NS, endNs);
        if (inSecond > bounds.coldPerSecond()) {
          violations.add(
              endNs,
              "cold rate",
              "%s got %d requests in a second".formatted(span.backend(), inSecond));
          break;
        }
      }
    }
  }

  /**
   * Checks that backend servers that leave, or whose zone is out, got no new work.
   *
   * @param boundMs time in which the change has to be in force
   */
  public void checkClosed(List<Closed> spans, long boundMs) {
    Map<String, List<Long>> arrivals = arrivalsByBackend();
    for (Closed span : spans) {
      long fromNs = span.acceptedNs() + boundMs * NS_PER_MS + MARGIN_NS;
      for (long atNs : arrivals.getOrDefault(span.backend(), List.of())) {
        boolean isLate = atNs > fromNs && atNs < span.untilNs();
        if (isLate && calm.isCalm(span.acceptedNs(), atNs)) {
          violations.add(
              atNs,
              span.promise(),
              "%s got work %d ms after it"
                  .formatted(span.backend(), (atNs - span.acceptedNs()) / NS_PER_MS));
          break;
        }
      }
    }
  }

  private Map<String, List<Long>> arrivalsByBackend() {
    Map<String, List<Long>> times = new HashMap<>();
    for (Ledger.Entry entry : ledger.all()) {
      for (Arrival arrival : entry.arrivals()) {
        times.computeIfAbsent(arrival.backend(), _ -> new ArrayList<>()).add(arrival.atNs());
      }
    }
    return times;
  }

  private static long countIn(List<Long> times, long afterNs, long untilNs) {
    return times.stream().filter(ns -> ns > afterNs && ns <= untilNs).count();
  }
}
