package org.cowslipstair.adapters.peer;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.SerialDisposable;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.fleet.InstanceEntry;

/** Decides when to dial which peer; backs off with jitter. */
final class Dialler {
  private static final long FIRST_DELAY_MS = 50;
  private static final long MAX_DELAY_MS = 5_000;
  private static final int MAX_DOUBLINGS = 7;
  private static final long DEFERENCE_MS = 200;

  private final GatewayName self;
  private final Scheduler scheduler;
  private final RandomGenerator random;
  private final Predicate<InstanceEntry> dial;
  private final Map<GatewayName, Target> targets = new HashMap<>();
  private boolean closed;

  /** Creates a dialler; {@code dial} blocks, and returns whether the peer is now connected. */
  Dialler(
      GatewayName self,
      Scheduler scheduler,
      RandomGenerator random,
      Predicate<InstanceEntry> dial) {
    this.self = self;
    this.scheduler = scheduler;
    this.random = random;
    this.dial = dial;
  }

  /** A peer to keep a connection with. */
  private static final class Target {
    private InstanceEntry entry;
    private int attempts;
    private boolean isScheduled;
    private final SerialDisposable timer = new SerialDisposable();

    private Target(InstanceEntry entry) {
      this.entry = entry;
    }
  }

  synchronized void setTargets(Set<InstanceEntry> entries) {
    Map<GatewayName, InstanceEntry> wanted = new HashMap<>();
    entries.forEach(entry -> wanted.put(entry.name(), entry));
    targets.keySet().retainAll(wanted.keySet());
    wanted.forEach(
        (name, entry) -> {
          Target target = targets.computeIfAbsent(name, _ -> new Target(entry));
          if (!target.entry.peerAddress().equals(entry.peerAddress())) {
            target.attempts = 0;
          }
          target.entry = entry;
          schedule(target);
        });
  }

  /** Dials again after a connection ended. */
  synchronized void onDisconnected(GatewayName name) {
    Target target = targets.get(name);
    if (target != null) {
      target.attempts = 0;
      schedule(target);
    }
  }

  private void schedule(Target target) {
    if (closed || target.isScheduled) {
      return;
    }
    target.isScheduled = true;
    long delayMs = delayMs(target);
    target.timer.set(scheduler.scheduleDirect(() -> run(target), delayMs, TimeUnit.MILLISECONDS));
  }

  /** The higher name waits for the lower one to dial first. */
  private long delayMs(Target target) {
    boolean defers = self.compareTo(target.entry.name()) > 0 && target.attempts == 0;
    long baseMs =
        target.attempts == 0
            ? 0
            : Math.min(MAX_DELAY_MS, FIRST_DELAY_MS << Math.min(MAX_DOUBLINGS, target.attempts));
    long jitteredMs = baseMs / 2 + random.nextLong(baseMs + 1);
    return jitteredMs + (defers ? DEFERENCE_MS : 0);
  }

  private void run(Target target) {
    boolean connected = isWanted(target) && dial.test(target.entry);
    synchronized (this) {
      target.isScheduled = false;
      target.attempts = connected ? 0 : target.attempts + 1;
      if (!connected && targets.get(target.entry.name()) == target) {
        schedule(target);
      }
    }
  }

  private synchronized boolean isWanted(Target target) {
    return !closed && targets.get(target.entry.name()) == target;
  }

  synchronized void close() {
    closed = true;
    targets.values().forEach(target -> target.timer.dispose());
    targets.clear();
  }
}
