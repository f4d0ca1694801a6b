package org.cowslipstair.logic.overload.model;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import org.cowslipstair.model.traffic.LoadReport;

/**
 * A backend server: slots, a queue, a pace that changes every 150 ms, and a knee above four fifths
 * of its slots. A request that cannot be queued never gets a response.
 */
final class ModelServer {
  private static final int QUEUE = 6;
  private static final long PACE_INTERVAL_MS = 150;
  private static final double NOISY_FACTOR = 5;
  private static final double KNEE = 0.8;
  private static final double KNEE_FACTOR = 1.7;
  private static final double WORK_SPREAD = 0.3;

  final int zone;
  private final int index;
  private final int slots;
  private final Pattern pattern;
  private final Simulation simulation;
  private final Random random;
  private final Deque<Runnable> queue = new ArrayDeque<>();
  private int running;

  ModelServer(int index, int zone, Pattern pattern, Simulation simulation) {
    this.index = index;
    this.zone = zone;
    this.pattern = pattern;
    this.slots = pattern.fleet().slots();
    this.simulation = simulation;
    this.random = new Random(index);
  }

  boolean isDark() {
    return zone == pattern.darkZone() && Pattern.isTrouble(simulation.nowMs());
  }

  LoadReport report() {
    return new LoadReport(running, queue.size(), slots, pace());
  }

  private double pace() {
    long interval = simulation.nowMs() / PACE_INTERVAL_MS;
    boolean isNoisy =
        new Random(31L * index + 1_000_003L * interval).nextDouble() < pattern.fleet().noisyShare();
    boolean isSlow =
        Pattern.isTrouble(simulation.nowMs()) && index % 100 < pattern.slowShare() * 100;
    return (isNoisy ? NOISY_FACTOR : 1) * (isSlow ? pattern.slowFactor() : 1);
  }

  /**
   * Takes a request.
   *
   * @param workMs work at the usual pace
   * @param onDone called with whether it ran; not at all if the backend server is dark or full
   */
  void accept(double workMs, DoneListener onDone) {
    if (isDark()) {
      return;
    }
    if (Pattern.isTrouble(simulation.nowMs()) && random.nextDouble() < pattern.shedShare()) {
      onDone.onDone(false);
    } else if (running < slots) {
      run(workMs, onDone);
    } else if (queue.size() < QUEUE) {
      queue.add(() -> run(workMs, onDone));
    }
  }

  /** Receives the end of a request. */
  interface DoneListener {
    void onDone(boolean ran);
  }

  private void run(double workMs, DoneListener onDone) {
    running++;
    double knee = (double) running / slots > KNEE ? KNEE_FACTOR : 1;
    double spread = 1 + WORK_SPREAD * (2 * random.nextDouble() - 1);
    simulation.schedule(
        (long) (workMs * spread * knee * pace()),
        () -> {
          running--;
          if (!queue.isEmpty()) {
            queue.remove().run();
          }
          onDone.onDone(true);
        });
  }
}
