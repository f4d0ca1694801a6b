package org.cowslipstair.logic.placement;

import java.util.OptionalLong;
import org.cowslipstair.model.traffic.ServerNotice;

/**
 * The notices of one process of a backend server, and whether it may get a request. Leaving is
 * final, since a process that has begun to leave does not return. Of several pauses the one that
 * ends last counts. After a pause the server gets one request at a time until it has accepted one.
 * Not thread-safe.
 */
public final class ServerNotices {
  private boolean leaving;
  private boolean paused;
  private boolean onTrial;
  private long pausedUntilNs;

  /**
   * Records a notice.
   *
   * @param resumeDelayNs time after a pause in which this gateway still sends nothing, so that the
   *     fleet does not return at once
   * @return whether it changes what may be sent
   */
  public boolean record(ServerNotice notice, long resumeDelayNs) {
    return switch (notice) {
      case ServerNotice.Leaving _ -> {
        boolean isNew = !leaving;
        leaving = true;
        yield isNew;
      }
      case ServerNotice.Paused(long untilNs) -> {
        long resumeNs = untilNs + resumeDelayNs;
        boolean isLater = !paused || resumeNs - pausedUntilNs > 0;
        if (isLater) {
          pausedUntilNs = resumeNs;
        }
        paused = true;
        onTrial = true;
        yield isLater;
      }
    };
  }

  /** Records that the server has accepted a request. */
  public void recordAccepted(long nowNs) {
    if (!isPaused(nowNs)) {
      paused = false;
      onTrial = false;
    }
  }

  /** Returns whether the process has said that it leaves. */
  public boolean isLeaving() {
    return leaving;
  }

  /** Returns whether the process wants no requests now, but will later. */
  public boolean isPaused(long nowNs) {
    return paused && nowNs - pausedUntilNs < 0;
  }

  /** Returns the time until a pause ends; empty if there is none. */
  public OptionalLong pauseEndsInNs(long nowNs) {
    return isPaused(nowNs) ? OptionalLong.of(pausedUntilNs - nowNs) : OptionalLong.empty();
  }

  /**
   * Returns whether the process may get a request.
   *
   * @param inFlight number of unfinished requests that this gateway has sent there
   */
  public boolean allowRequest(int inFlight, long nowNs) {
    return !leaving && !isPaused(nowNs) && (!onTrial || inFlight == 0);
  }
}
