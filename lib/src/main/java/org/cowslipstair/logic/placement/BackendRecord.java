package org.cowslipstair.logic.placement;

import java.util.Optional;
import org.cowslipstair.model.traffic.BackendInstance;
import org.cowslipstair.model.traffic.LoadReport;

/**
 * What this gateway has seen of one backend instance: the requests it has from here, whether it is
 * healthy and cold, and how it has failed. Not safe for use by many threads.
 */
public final class BackendRecord {
  /** Weight of the newest outcome in the failure average; about the last six outcomes count. */
  private static final double OUTCOME_WEIGHT = 0.3;

  /** Time in which a remembered failure loses half of its weight. */
  private static final double FAILURE_HALF_LIFE_NS = 3e9;

  /** First pause after a failed connection; doubles up to the longest. */
  private static final long FIRST_PAUSE_NS = 250_000_000L;

  /** Time after a health answer in which a backend server is taken not to have become cold. */
  private static final long HEARD_NS = 500_000_000L;

  /** Age up to which a report tells more than own counts; about the time of one request. */
  private static final long RECENT_REPORT_NS = 200_000_000L;

  private static final long LONGEST_PAUSE_NS = 2_000_000_000L;

  private BackendInstance instance;
  private int inFlight;
  private double failureAverage;
  private long failedAtNs;
  private int unreachable;
  private long pausedUntilNs;
  private long coldUntilNs;
  private boolean heard;
  private long heardNs;
  private boolean healthy = true;
  private Optional<LoadReport> report = Optional.empty();
  private long reportedNs;
  private int startedSince;

  /** Creates a record. */
  public BackendRecord(BackendInstance instance, long nowNs) {
    this.instance = instance;
    this.coldUntilNs = instance.coldUntilNs();
    this.pausedUntilNs = nowNs;
    this.failedAtNs = nowNs;
  }

  /** Returns the backend instance. */
  public BackendInstance instance() {
    return instance;
  }

  /** Takes a newer entry of the same process life. */
  public void update(BackendInstance newer) {
    if (newer.coldUntilNs() != instance.coldUntilNs()) {
      coldUntilNs = newer.coldUntilNs();
    }
    instance = newer;
  }

  /**
   * Takes the answer to a probe.
   *
   * @param isHealthy whether the backend server says that it takes requests
   * @param newColdUntilNs monotonic time until which it says to be cold
   */
  public void probed(boolean isHealthy, long newColdUntilNs, long nowNs) {
    heard = true;
    heardNs = nowNs;
    healthy = isHealthy;
    coldUntilNs = newColdUntilNs;
    unreachable = 0;
  }

  /** Takes a load report. */
  public void reported(LoadReport newReport, long nowNs) {
    report = Optional.of(newReport);
    reportedNs = nowNs;
    startedSince = 0;
  }

  /** Returns the last load report with the requests sent from here since, if it is recent. */
  public Optional<LoadReport> recentReport(long nowNs) {
    return report
        .filter(_ -> nowNs - reportedNs <= RECENT_REPORT_NS)
        .map(
            last ->
                new LoadReport(
                    last.running() + startedSince, last.waiting(), last.slots(), last.pace()));
  }

  /** Counts a request sent from here. */
  public void started() {
    inFlight++;
    startedSince++;
  }

  /** Counts the end of a request sent from here. */
  public void ended() {
    inFlight--;
  }

  /** Remembers whether a request ended well. */
  public void outcome(boolean success, long nowNs) {
    double before = failureShare(nowNs);
    failureAverage = before + OUTCOME_WEIGHT * ((success ? 0 : 1) - before);
    failedAtNs = nowNs;
  }

  /** Remembers that no connection could be opened or a probe stayed without an answer. */
  public void unreachable(long nowNs) {
    long pauseNs = Math.min(LONGEST_PAUSE_NS, FIRST_PAUSE_NS << Math.min(unreachable, 10));
    unreachable++;
    pausedUntilNs = Math.max(pausedUntilNs, nowNs + pauseNs);
  }

  /** Returns whether the backend server is left alone after it could not be reached. */
  public boolean isPaused(long nowNs) {
    return nowNs < pausedUntilNs;
  }

  /** Returns whether the backend server says that it takes requests. */
  public boolean isHealthy() {
    return healthy;
  }

  /** Returns whether the backend server is cold. */
  public boolean isCold(long nowNs) {
    return nowNs < coldUntilNs;
  }

  /**
   * Returns whether the backend server is cold or was not heard of for a while: one may fall cold
   * at any moment.
   */
  public boolean mayBeCold(long nowNs) {
    return isCold(nowNs) || !heard || nowNs - heardNs > HEARD_NS;
  }

  /** Returns the share of recent requests that failed, fading with time. */
  public double failureShare(long nowNs) {
    return failureAverage * Math.pow(0.5, (nowNs - failedAtNs) / FAILURE_HALF_LIFE_NS);
  }

  /** Returns the requests sent from here that have not ended. */
  public int inFlight() {
    return inFlight;
  }
}
