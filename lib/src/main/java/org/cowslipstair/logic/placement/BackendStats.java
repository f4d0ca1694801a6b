package org.cowslipstair.logic.placement;

import java.util.Optional;
import org.cowslipstair.model.traffic.BackendInstance;
import org.cowslipstair.model.traffic.LoadReport;
import org.cowslipstair.model.traffic.RateLimit;
import org.cowslipstair.model.traffic.RateLimitObservation;

/**
 * Request counts, health, cold state and failures of one backend instance, as observed by this
 * gateway. Not thread-safe.
 */
public final class BackendStats {
  /** Weight of the newest outcome in the failure average; about the last six outcomes count. */
  private static final double OUTCOME_WEIGHT = 0.3;

  /** Backoff after the first failed connection; doubles with each further failure. */
  private static final long INITIAL_BACKOFF_NS = 250_000_000L;

  /** Time after a probe response in which a backend server is assumed not to have become cold. */
  private static final long MAX_PROBE_AGE_NS = 500_000_000L;

  /**
   * Age up to which a load report is more accurate than own request counts; about the duration of
   * one request.
   */
  private static final long MAX_REPORT_AGE_NS = 200_000_000L;

  /**
   * Time without a response to a probe after which a backend server is not probed again until the
   * probe has ended; usually a response takes a few milliseconds.
   */
  private static final long MAX_PROBE_WAIT_NS = 100_000_000L;

  private static final long MAX_BACKOFF_NS = 2_000_000_000L;

  private final FailureAverage failures;
  private final ServerNotices notices = new ServerNotices();
  private BackendInstance instance;
  private int inFlight;
  private int unreachableCount;
  private long backoffUntilNs;
  private long coldUntilNs;
  private boolean hasProbeResponse;
  private long probeResponseNs;
  private int pendingProbes;
  private long unansweredSinceNs;
  private boolean healthy = true;
  private Optional<LoadReport> report = Optional.empty();
  private long reportNs;
  private int sentSinceReport;
  private int unprobedRequests;
  private Optional<RateLimitObservation> rateLimit = Optional.empty();
  private long limitedRequestCount;
  private long limitedProbeCount;

  /** Creates statistics without observations. */
  public BackendStats(BackendInstance instance, long nowNs) {
    this.instance = instance;
    this.coldUntilNs = instance.coldUntilNs();
    this.backoffUntilNs = nowNs;
    this.failures = new FailureAverage(OUTCOME_WEIGHT, nowNs);
  }

  /** Returns the backend instance. */
  public BackendInstance instance() {
    return instance;
  }

  /** Returns what the process has said about the requests that it wants. */
  public ServerNotices notices() {
    return notices;
  }

  /** Replaces the instance by a newer entry of the same backend process. */
  public void updateInstance(BackendInstance newer) {
    if (newer.coldUntilNs() != instance.coldUntilNs()) {
      coldUntilNs = newer.coldUntilNs();
    }
    instance = newer;
  }

  /** Records that a probe was started, including the opening of its connection. */
  public void recordProbeStart(long nowNs) {
    if (pendingProbes == 0) {
      unansweredSinceNs = nowNs;
    }
    pendingProbes++;
    limitedProbeCount += rateLimit().isPresent() ? 1 : 0;
  }

  /** Records that a probe ended, with or without a response. */
  public void recordProbeEnd() {
    pendingProbes--;
  }

  /** Returns whether a probe has been waiting for a response for too long. */
  public boolean isUnresponsive(long nowNs) {
    return pendingProbes > 0 && nowNs - unansweredSinceNs > MAX_PROBE_WAIT_NS;
  }

  /**
   * Records the response to a probe.
   *
   * @param isHealthy whether the backend server reports that it accepts requests
   * @param newColdUntilNs monotonic time until which it reports to be cold
   */
  public void recordProbe(boolean isHealthy, long newColdUntilNs, long nowNs) {
    hasProbeResponse = true;
    probeResponseNs = nowNs;
    unansweredSinceNs = nowNs;
    unprobedRequests = 0;
    healthy = isHealthy;
    coldUntilNs = newColdUntilNs;
    unreachableCount = 0;
  }

  /** Records a load report. */
  public void recordLoadReport(LoadReport newReport, long nowNs) {
    report = Optional.of(newReport);
    reportNs = nowNs;
    sentSinceReport = 0;
  }

  /**
   * Returns the last load report, with the requests sent from here since then added, if it is
   * recent.
   */
  public Optional<LoadReport> recentReport(long nowNs) {
    return report
        .filter(_ -> nowNs - reportNs <= MAX_REPORT_AGE_NS)
        .map(
            last ->
                new LoadReport(
                    last.running() + sentSinceReport,
                    last.waiting(),
                    last.slots(),
                    last.slowdownFactor()));
  }

  /**
   * Records the rate limit that the backend server advertises, unless a newer observation is known.
   *
   * @return whether the limit differs from the one recorded before
   */
  public boolean recordRateLimit(RateLimitObservation observation) {
    if (rateLimit.isPresent() && !observation.isNewerThan(rateLimit.get())) {
      return false;
    }
    boolean hasChanged = !observation.limit().equals(rateLimit());
    rateLimit = Optional.of(observation);
    return hasChanged;
  }

  /** Returns the newest observation of the rate limit; empty if there was none. */
  public Optional<RateLimitObservation> rateLimitObservation() {
    return rateLimit;
  }

  /** Returns the rate limit that the backend server advertises; empty if it has none. */
  public Optional<RateLimit> rateLimit() {
    return rateLimit.flatMap(RateLimitObservation::limit);
  }

  /** Returns the number of requests sent from here while a rate limit was known. */
  public long limitedRequestCount() {
    return limitedRequestCount;
  }

  /** Returns the number of probes sent from here while a rate limit was known. */
  public long limitedProbeCount() {
    return limitedProbeCount;
  }

  /** Counts a request that is sent from here without a probe of its own. */
  public void recordUnprobedRequest() {
    unprobedRequests++;
  }

  /** Counts a request sent from here. */
  public void recordRequestStart() {
    inFlight++;
    sentSinceReport++;
    limitedRequestCount += rateLimit().isPresent() ? 1 : 0;
  }

  /** Counts a request sent from here as finished. */
  public void recordRequestEnd() {
    inFlight--;
  }

  /** Records whether a request succeeded. */
  public void recordOutcome(boolean success, long nowNs) {
    failures.record(success, nowNs);
  }

  /** Records that no connection could be opened or that a probe timed out. */
  public void recordUnreachable(long nowNs) {
    long backoffNs = Math.min(MAX_BACKOFF_NS, INITIAL_BACKOFF_NS << Math.min(unreachableCount, 10));
    unreachableCount++;
    backoffUntilNs = Math.max(backoffUntilNs, nowNs + backoffNs);
  }

  /** Returns whether no request may be sent yet after the backend server was unreachable. */
  public boolean isBackingOff(long nowNs) {
    return nowNs < backoffUntilNs;
  }

  /** Returns whether the backend server reports that it accepts requests. */
  public boolean isHealthy() {
    return healthy;
  }

  /** Returns whether the backend server is cold. */
  public boolean isCold(long nowNs) {
    return nowNs < coldUntilNs;
  }

  /**
   * Returns whether the backend server is cold or has not responded to a recent probe: a backend
   * server can become cold at any time.
   *
   * @param maxUnprobedRequests requests sent from here without a probe of their own since the last
   *     probe response, after which that is not recent
   */
  public boolean canBeCold(int maxUnprobedRequests, long nowNs) {
    return isCold(nowNs)
        || !hasProbeResponse
        || unprobedRequests >= maxUnprobedRequests
        || nowNs - probeResponseNs > MAX_PROBE_AGE_NS;
  }

  /** Returns the share of recent requests that failed, between 0 and 1; it decays over time. */
  public double failureShare(long nowNs) {
    return failures.share(nowNs);
  }

  /** Returns the number of unfinished requests sent from here. */
  public int inFlight() {
    return inFlight;
  }
}
