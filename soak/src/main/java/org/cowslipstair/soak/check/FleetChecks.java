package org.cowslipstair.soak.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cowslipstair.soak.Limits;
import org.cowslipstair.soak.check.RequestLog.Arrival;

/** Checks the fleet-wide rules at the end of a run. */
public final class FleetChecks {
  private static final long NS_PER_MS = 1_000_000L;
  private static final long SECOND_NS = 1_000_000_000L;

  /** Tolerance for scheduling delays of a busy machine, which the daemons cannot avoid. */
  private static final long MARGIN_NS = 500 * NS_PER_MS;

  /** Crashes after which a request must be held back, and number of later sends allowed. */
  private static final int MAX_DEADLY_CRASHES = 3;

  private static final int MAX_LATE_SENDS = 3;

  private final Limits limits;
  private final RequestLog requestLog;
  private final DisturbanceLog disturbanceLog;
  private final Violations violations;

  /** Creates the checks, which read the logs and add to the violations. */
  public FleetChecks(
      Limits limits, RequestLog requestLog, DisturbanceLog disturbanceLog, Violations violations) {
    this.limits = limits;
    this.requestLog = requestLog;
    this.disturbanceLog = disturbanceLog;
    this.violations = violations;
  }

  /**
   * A period in which a backend server must not receive new requests, except within a time limit at
   * its start.
   *
   * @param acceptedNs time at which the store accepted the change
   */
  public record ClosedPeriod(String rule, String backend, long acceptedNs, long untilNs) {}

  /** A period in which a backend server was cold. */
  public record ColdPeriod(String backend, long fromNs, long untilNs) {}

  /** Checks the shared budget for retries and hedges. */
  public void checkRetryBudget() {
    Map<String, List<Long>> firstSendTimes = new HashMap<>();
    Map<String, List<Long>> repeatTimes = new HashMap<>();
    for (RequestLog.Entry entry : requestLog.entries()) {
      List<Arrival> arrivals = entry.arrivals();
      for (int i = 0; i < arrivals.size(); i++) {
        (i == 0 ? firstSendTimes : repeatTimes)
            .computeIfAbsent(arrivals.get(i).service(), _ -> new ArrayList<>())
            .add(arrivals.get(i).atNs());
      }
    }
    repeatTimes.forEach(
        (service, times) ->
            checkWindows(service, firstSendTimes.getOrDefault(service, List.of()), times));
  }

  private void checkWindows(String service, List<Long> firstSendTimes, List<Long> repeatTimes) {
    long windowNs = limits.windowMs() * NS_PER_MS;
    for (long endNs : repeatTimes) {
      long repeatCount = countIn(repeatTimes, endNs - windowNs, endNs);
      long requests =
          Math.max(
              countIn(firstSendTimes, endNs - windowNs, endNs),
              countIn(firstSendTimes, endNs - 2 * windowNs, endNs - windowNs));
      double maxRepeats = limits.retryRatio() * requests + limits.retrySlack();
      if (repeatCount > maxRepeats) {
        violations.add(
            endNs,
            "retry budget",
            "%s got %d repeats in a window of %d requests"
                .formatted(service, repeatCount, requests));
        return;
      }
    }
  }

  /** Checks that no cold backend server exceeded its request rate in any second. */
  public void checkColdPeriods(List<ColdPeriod> periods) {
    Map<String, List<Long>> arrivals = arrivalsByBackend();
    for (ColdPeriod period : periods) {
      List<Long> coldArrivals =
          arrivals.getOrDefault(period.backend(), List.of()).stream()
              .filter(ns -> ns >= period.fromNs() && ns <= period.untilNs())
              .toList();
      for (long endNs : coldArrivals) {
        long countInSecond = countIn(coldArrivals, endNs - SECOND_NS, endNs);
        if (countInSecond > limits.coldPerSecond()) {
          violations.add(
              endNs,
              "cold rate",
              "%s got %d requests in a second".formatted(period.backend(), countInSecond));
          break;
        }
      }
    }
  }

  /**
   * Checks that backend servers that are leaving, or whose zone is out, received no new requests.
   *
   * @param applyLimitMs maximum time until the change is in force
   */
  public void checkClosedPeriods(List<ClosedPeriod> periods, long applyLimitMs) {
    Map<String, List<Long>> arrivals = arrivalsByBackend();
    for (ClosedPeriod period : periods) {
      long fromNs = period.acceptedNs() + applyLimitMs * NS_PER_MS + MARGIN_NS;
      for (long atNs : arrivals.getOrDefault(period.backend(), List.of())) {
        boolean isLate = atNs > fromNs && atNs < period.untilNs();
        if (isLate && disturbanceLog.isUndisturbed(period.acceptedNs(), atNs)) {
          violations.add(
              atNs,
              period.rule(),
              "%s received a request %d ms after the change was accepted"
                  .formatted(period.backend(), (atNs - period.acceptedNs()) / NS_PER_MS));
          break;
        }
      }
    }
  }

  /**
   * Checks that a request that crashes each server that runs it is held back by the whole fleet.
   *
   * @param idPrefix start of the ids of all its returns
   * @param gatewaysDown when gateways were killed or paused; those of the store do not count
   */
  public void checkDeadlyRequest(String idPrefix, DisturbanceLog gatewaysDown) {
    List<Long> arrivals =
        requestLog.entriesOf(idPrefix).stream()
            .flatMap(entry -> entry.arrivals().stream())
            .map(Arrival::atNs)
            .sorted()
            .toList();
    if (arrivals.size() < MAX_DEADLY_CRASHES) {
      return;
    }
    long noticedNs =
        arrivals.get(MAX_DEADLY_CRASHES - 1) + limits.settleMs() * NS_PER_MS + MARGIN_NS;
    List<Long> lateArrivals =
        arrivals.stream()
            .filter(ns -> ns > noticedNs && gatewaysDown.isUndisturbed(ns, ns))
            .toList();
    if (lateArrivals.size() > MAX_LATE_SENDS) {
      violations.add(
          lateArrivals.get(MAX_LATE_SENDS),
          "crashing request held back",
          "%s reached %d servers late".formatted(idPrefix, lateArrivals.size()));
    }
  }

  private Map<String, List<Long>> arrivalsByBackend() {
    Map<String, List<Long>> times = new HashMap<>();
    for (RequestLog.Entry entry : requestLog.entries()) {
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
