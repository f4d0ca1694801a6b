package org.cowslipstair.logic.backend;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.pool.CallEnd;
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.port.BackendProbe.Health;
import org.cowslipstair.port.BackendProbe.ProbeReport;

/** A backend server in virtual time, moved on millisecond by millisecond. */
final class SimulatedBackend {
  private static final int MEAN_MS = 20;
  private static final double SIGMA = 1.2;
  private static final int WARM_AFTER_ANSWERS = 20;
  private static final int COLLAPSE_MS = 200;
  private static final int COLLAPSE_FACTOR = 20;
  private static final int TIMEOUT_MS = 2_000;
  private static final double NOISE_PER_MS = 1 / 500.0;
  private static final int NOISE_MS = 60;
  private static final int NOISE_FACTOR = 3;
  private static final int HEDGE_WON_MS = 80;
  private static final int HEALTH_LAG_MS = 1_000;
  final BackendName name;
  private final Random random;
  private final List<Running> running = new ArrayList<>();
  private final int slots;
  private final ServiceTime shape;
  private final boolean noisy;
  private Fall fall = Fall.NONE;
  private long fellAtMs;
  private long noiseEndMs;
  private long collapseEndMs;
  private int answersSinceFall;
  int overColdCapacity;
  int startsSinceFall;

  /** Distribution of service times. */
  enum ServiceTime {
    EXPONENTIAL,
    CONSTANT,
    LOGNORMAL
  }

  /** What may happen to a backend server without warning. */
  enum Fall {
    NONE,
    COLD_COLLAPSES,
    COLD_SHEDS,
    SLOW_TEN_TIMES,
    SLOW_AND_HEDGED,
    HANGS,
    RESETS
  }

  /** The end of a call. */
  record Ended(long lease, CallReport report) {}

  private static final class Running {
    private final long lease;
    private final long startMs;
    private double workMs;

    Running(long lease, long startMs, double workMs) {
      this.lease = lease;
      this.startMs = startMs;
      this.workMs = workMs;
    }
  }

  SimulatedBackend(int number, int slots, ServiceTime shape, boolean noisy, Random random) {
    this.name = Backends.name(number);
    this.slots = slots;
    this.shape = shape;
    this.noisy = noisy;
    this.random = random;
  }

  int inFlight() {
    return running.size();
  }

  Fall fall() {
    return fall;
  }

  void fall(Fall newFall, long nowMs) {
    fall = newFall;
    fellAtMs = nowMs;
    answersSinceFall = 0;
    overColdCapacity = 0;
    startsSinceFall = 0;
  }

  /** Starts a call; returns its end if it is refused at once. */
  Optional<Ended> start(long lease, long nowMs) {
    startsSinceFall++;
    if (fall != Fall.NONE && !running.isEmpty()) {
      overColdCapacity++;
    }
    if (fall == Fall.COLD_SHEDS && !running.isEmpty()) {
      return Optional.of(new Ended(lease, report(CallEnd.SHED, 1)));
    }
    if (fall == Fall.RESETS) {
      return Optional.of(new Ended(lease, report(CallEnd.FAILED, 1)));
    }
    running.add(new Running(lease, nowMs, sampleMs()));
    return Optional.empty();
  }

  List<Ended> move(long nowMs) {
    if (noisy && random.nextDouble() < NOISE_PER_MS) {
      noiseEndMs = nowMs + NOISE_MS;
    }
    if (fall == Fall.COLD_COLLAPSES && running.size() > 1) {
      collapseEndMs = nowMs + COLLAPSE_MS;
      answersSinceFall = 0;
    }
    double factor = factor(nowMs);
    List<Ended> ended = new ArrayList<>();
    for (Iterator<Running> each = running.iterator(); each.hasNext(); ) {
      Running call = each.next();
      call.workMs -= 1 / factor;
      long tookMs = Math.max(1, nowMs - call.startMs);
      boolean reset = fall == Fall.RESETS;
      if (fall == Fall.SLOW_AND_HEDGED && call.workMs > 0 && tookMs >= HEDGE_WON_MS) {
        each.remove();
        ended.add(new Ended(call.lease, report(CallEnd.CANCELLED, tookMs)));
        continue;
      }
      if (!reset && call.workMs > 0 && tookMs < TIMEOUT_MS) {
        continue;
      }
      each.remove();
      CallEnd how = call.workMs > 0 ? CallEnd.TIMED_OUT : CallEnd.ANSWERED;
      ended.add(new Ended(call.lease, report(reset ? CallEnd.FAILED : how, tookMs)));
      answersSinceFall++;
    }
    if (answersSinceFall >= WARM_AFTER_ANSWERS && isCold()) {
      fall = Fall.NONE;
    }
    return ended;
  }

  /** Says what was true a while ago. */
  ProbeReport probe(long nowMs) {
    boolean coldThen = fall != Fall.NONE && nowMs - fellAtMs > HEALTH_LAG_MS;
    return new ProbeReport(coldThen ? Health.COLD : Health.WARM, running.size(), slots, 0);
  }

  private double sampleMs() {
    return switch (shape) {
      case EXPONENTIAL -> random.nextExponential() * MEAN_MS;
      case CONSTANT -> MEAN_MS;
      case LOGNORMAL -> MEAN_MS * Math.exp(random.nextGaussian() * SIGMA - SIGMA * SIGMA / 2);
    };
  }

  private boolean isCold() {
    return fall == Fall.COLD_COLLAPSES || fall == Fall.COLD_SHEDS;
  }

  private double factor(long nowMs) {
    double factor = nowMs < noiseEndMs ? NOISE_FACTOR : 1;
    return switch (fall) {
      case SLOW_TEN_TIMES, SLOW_AND_HEDGED -> 10 * factor;
      case HANGS -> 1e9;
      case COLD_COLLAPSES -> nowMs < collapseEndMs ? COLLAPSE_FACTOR * factor : factor;
      case NONE, COLD_SHEDS, RESETS -> factor;
    };
  }

  private static CallReport report(CallEnd end, long tookMs) {
    return new CallReport(end, tookMs * Backends.NS_PER_MS);
  }
}
