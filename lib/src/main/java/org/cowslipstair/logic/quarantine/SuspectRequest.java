package org.cowslipstair.logic.quarantine;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cowslipstair.model.traffic.BackendProcess;
import org.cowslipstair.model.traffic.RequestFingerprint;

/**
 * A request that ran on backend servers when they crashed. What gateways know of the same request
 * can be merged in any order and any number of times, with the same result.
 *
 * @param crashes the crashes by the process that ended
 * @param trials number of times that the request was sent on trial after it had been held back
 * @param lastTrialNs monotonic time of the last trial; meaningless without trials
 * @param lastSeenNs monotonic time at which the request last arrived or ran
 */
public record SuspectRequest(
    RequestFingerprint fingerprint,
    Map<BackendProcess, Crash> crashes,
    int trials,
    long lastTrialNs,
    long lastSeenNs) {
  /** Maximum number of remembered crashes; far more than it takes to hold a request back. */
  static final int MAX_CRASHES = 8;

  /**
   * A crash during which the request ran.
   *
   * @param observedNs monotonic time of the crash
   * @param isCleared whether the request has run completely since then, so that it is not to blame
   */
  public record Crash(long observedNs, boolean isCleared) {
    private Crash merge(Crash other) {
      return new Crash(Math.min(observedNs, other.observedNs), isCleared || other.isCleared);
    }
  }

  /**
   * Validates the number of trials, copies the crashes and keeps only the newest ones if there are
   * too many.
   */
  public SuspectRequest {
    if (trials < 0) {
      throw new IllegalArgumentException("suspect with " + trials + " trials");
    }
    if (crashes.size() > MAX_CRASHES) {
      Map<BackendProcess, Crash> newest = new HashMap<>();
      crashes.entrySet().stream()
          .sorted(Comparator.comparingLong(entry -> -entry.getValue().observedNs))
          .limit(MAX_CRASHES)
          .forEach(entry -> newest.put(entry.getKey(), entry.getValue()));
      crashes = newest;
    }
    crashes = Map.copyOf(crashes);
  }

  /** Creates a request under which one process has crashed. */
  static SuspectRequest first(RequestFingerprint fingerprint, BackendProcess process, long nowNs) {
    return new SuspectRequest(
        fingerprint, Map.of(process, new Crash(nowNs, false)), 0, nowNs, nowNs);
  }

  /** Returns the monotonic times of the crashes for which it may be to blame, in order. */
  List<Long> crashTimesNs() {
    return crashes.values().stream()
        .filter(crash -> !crash.isCleared)
        .map(Crash::observedNs)
        .sorted()
        .toList();
  }

  /** Returns the number of crashes for which it may be to blame. */
  public int crashCount() {
    return (int) crashes.values().stream().filter(crash -> !crash.isCleared).count();
  }

  /** Returns whether it may be to blame for a crash. */
  boolean isSuspectedOf(BackendProcess process) {
    Crash crash = crashes.get(process);
    return crash != null && !crash.isCleared;
  }

  /** Returns what is known after it has run completely. */
  SuspectRequest cleared(long nowNs) {
    Map<BackendProcess, Crash> cleared = new LinkedHashMap<>();
    crashes.forEach((process, crash) -> cleared.put(process, new Crash(crash.observedNs, true)));
    return new SuspectRequest(fingerprint, cleared, trials, lastTrialNs, nowNs);
  }

  /** Returns what is known after a trial has begun. */
  SuspectRequest tried(long nowNs) {
    return new SuspectRequest(fingerprint, crashes, trials + 1, nowNs, nowNs);
  }

  /** Returns what is known after it has arrived again. */
  SuspectRequest seen(long nowNs) {
    return new SuspectRequest(fingerprint, crashes, trials, lastTrialNs, nowNs);
  }

  /** Returns what both gateways know together. */
  SuspectRequest merge(SuspectRequest other) {
    Map<BackendProcess, Crash> merged = new HashMap<>(crashes);
    other.crashes.forEach((process, crash) -> merged.merge(process, crash, Crash::merge));
    boolean isOtherTrialNewer = other.trials > trials;
    return new SuspectRequest(
        fingerprint,
        merged,
        Math.max(trials, other.trials),
        isOtherTrialNewer ? other.lastTrialNs : lastTrialNs,
        Math.max(lastSeenNs, other.lastSeenNs));
  }

  /** Returns whether another gateway knows the same crashes and trials. */
  boolean isSameAs(SuspectRequest other) {
    return trials == other.trials
        && crashes.keySet().equals(other.crashes.keySet())
        && crashes.entrySet().stream()
            .allMatch(
                entry -> entry.getValue().isCleared == other.crashes.get(entry.getKey()).isCleared);
  }
}
