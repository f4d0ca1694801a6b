package org.cowslipstair.logic.backend;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.pool.CallOutcome;
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.port.BackendProbe.Health;
import org.cowslipstair.port.BackendProbe.ProbeReport;

/** Simulates a backend server in virtual time, in steps of one millisecond. */
final class SimulatedBackend {
  private static final int MEAN_SERVICE_TIME_MS = 20;
  private static final double LOGNORMAL_SIGMA = 1.2;
  private static final int RESPONSES_TO_WARM = 20;
  private static final int COLLAPSE_DURATION_MS = 200;
  private static final int COLLAPSE_SLOWDOWN = 20;
  private static final int TIMEOUT_MS = 2_000;
  private static final double NOISE_PROBABILITY_PER_MS = 1 / 500.0;
  private static final int NOISE_DURATION_MS = 60;
  private static final int NOISE_SLOWDOWN = 3;
  private static final int HEDGE_RESPONSE_MS = 80;
  private static final int HEALTH_LAG_MS = 1_000;
  final BackendName name;
  private final Random random;
  private final List<RunningCall> runningCalls = new ArrayList<>();
  private final int slots;
  private final ServiceTimeDistribution serviceTime;
  private final boolean hasNoise;
  private Fault fault = Fault.NONE;
  private long faultAtMs;
  private long noiseEndMs;
  private long collapseEndMs;
  private int responsesSinceFault;
  int overColdCapacity;
  int startsSinceFault;

  /** Distribution of service times. */
  enum ServiceTimeDistribution {
    EXPONENTIAL,
    CONSTANT,
    LOGNORMAL
  }

  /** Fault that a backend server may develop without notice. */
  enum Fault {
    NONE,
    COLD_COLLAPSES,
    COLD_SHEDS,
    SLOW_TEN_TIMES,
    SLOW_AND_HEDGED,
    HANGS,
    RESETS
  }

  /** The end of a call. */
  record EndedCall(long callNumber, CallReport report) {}

  private static final class RunningCall {
    private final long callNumber;
    private final long startMs;
    private double remainingWorkMs;

    RunningCall(long callNumber, long startMs, double remainingWorkMs) {
      this.callNumber = callNumber;
      this.startMs = startMs;
      this.remainingWorkMs = remainingWorkMs;
    }
  }

  SimulatedBackend(
      int number, int slots, ServiceTimeDistribution serviceTime, boolean hasNoise, Random random) {
    this.name = BackendFixtures.name(number);
    this.slots = slots;
    this.serviceTime = serviceTime;
    this.hasNoise = hasNoise;
    this.random = random;
  }

  int inFlight() {
    return runningCalls.size();
  }

  Fault fault() {
    return fault;
  }

  void injectFault(Fault newFault, long nowMs) {
    fault = newFault;
    faultAtMs = nowMs;
    responsesSinceFault = 0;
    overColdCapacity = 0;
    startsSinceFault = 0;
  }

  /** Starts a call; returns its end if it fails immediately. */
  Optional<EndedCall> start(long callNumber, long nowMs) {
    startsSinceFault++;
    if (fault != Fault.NONE && !runningCalls.isEmpty()) {
      overColdCapacity++;
    }
    if (fault == Fault.COLD_SHEDS && !runningCalls.isEmpty()) {
      return Optional.of(new EndedCall(callNumber, report(CallOutcome.SHED, 1)));
    }
    if (fault == Fault.RESETS) {
      return Optional.of(new EndedCall(callNumber, report(CallOutcome.FAILED, 1)));
    }
    runningCalls.add(new RunningCall(callNumber, nowMs, sampleMs()));
    return Optional.empty();
  }

  List<EndedCall> advance(long nowMs) {
    if (hasNoise && random.nextDouble() < NOISE_PROBABILITY_PER_MS) {
      noiseEndMs = nowMs + NOISE_DURATION_MS;
    }
    if (fault == Fault.COLD_COLLAPSES && runningCalls.size() > 1) {
      collapseEndMs = nowMs + COLLAPSE_DURATION_MS;
      responsesSinceFault = 0;
    }
    double slowdown = slowdown(nowMs);
    List<EndedCall> ended = new ArrayList<>();
    for (Iterator<RunningCall> iterator = runningCalls.iterator(); iterator.hasNext(); ) {
      RunningCall call = iterator.next();
      call.remainingWorkMs -= 1 / slowdown;
      long durationMs = Math.max(1, nowMs - call.startMs);
      boolean isReset = fault == Fault.RESETS;
      if (fault == Fault.SLOW_AND_HEDGED
          && call.remainingWorkMs > 0
          && durationMs >= HEDGE_RESPONSE_MS) {
        iterator.remove();
        ended.add(new EndedCall(call.callNumber, report(CallOutcome.CANCELLED, durationMs)));
        continue;
      }
      if (!isReset && call.remainingWorkMs > 0 && durationMs < TIMEOUT_MS) {
        continue;
      }
      iterator.remove();
      CallOutcome end = call.remainingWorkMs > 0 ? CallOutcome.TIMED_OUT : CallOutcome.ANSWERED;
      ended.add(
          new EndedCall(call.callNumber, report(isReset ? CallOutcome.FAILED : end, durationMs)));
      responsesSinceFault++;
    }
    if (responsesSinceFault >= RESPONSES_TO_WARM && isCold()) {
      fault = Fault.NONE;
    }
    return ended;
  }

  /** Reports the health of {@code HEALTH_LAG_MS} ago. */
  ProbeReport probe(long nowMs) {
    boolean wasCold = fault != Fault.NONE && nowMs - faultAtMs > HEALTH_LAG_MS;
    return new ProbeReport(wasCold ? Health.COLD : Health.WARM, runningCalls.size(), slots, 0);
  }

  private double sampleMs() {
    return switch (serviceTime) {
      case EXPONENTIAL -> random.nextExponential() * MEAN_SERVICE_TIME_MS;
      case CONSTANT -> MEAN_SERVICE_TIME_MS;
      case LOGNORMAL ->
          MEAN_SERVICE_TIME_MS
              * Math.exp(
                  random.nextGaussian() * LOGNORMAL_SIGMA - LOGNORMAL_SIGMA * LOGNORMAL_SIGMA / 2);
    };
  }

  private boolean isCold() {
    return fault == Fault.COLD_COLLAPSES || fault == Fault.COLD_SHEDS;
  }

  private double slowdown(long nowMs) {
    double slowdown = nowMs < noiseEndMs ? NOISE_SLOWDOWN : 1;
    return switch (fault) {
      case SLOW_TEN_TIMES, SLOW_AND_HEDGED -> 10 * slowdown;
      case HANGS -> 1e9;
      case COLD_COLLAPSES -> nowMs < collapseEndMs ? COLLAPSE_SLOWDOWN * slowdown : slowdown;
      case NONE, COLD_SHEDS, RESETS -> slowdown;
    };
  }

  private static CallReport report(CallOutcome end, long durationMs) {
    return new CallReport(end, durationMs * BackendFixtures.NS_PER_MS);
  }
}
