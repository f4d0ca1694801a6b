package org.cowslipstair.runtime.lease;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.cowslipstair.logic.admission.Permit;
import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.logic.lessee.Lease;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.ConfigSnapshot;
import org.cowslipstair.model.config.Zone;
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.port.MonotonicClock;

/** Permit of one call under a lease. */
final class LeasePermit implements Permit {
  private static final long MAX_TICK_GAP_NS = 500_000_000L;
  private final Lease lease;
  private final BackendServer backend;
  private final LeaseRuntime runtime;
  private final MonotonicClock clock;
  private final Supplier<ConfigSnapshot> snapshot;
  private final InvariantMonitor monitor;
  private final AtomicBoolean isReleased = new AtomicBoolean();

  LeasePermit(
      Lease lease,
      BackendServer backend,
      LeaseRuntime runtime,
      MonotonicClock clock,
      Supplier<ConfigSnapshot> snapshot,
      InvariantMonitor monitor) {
    this.lease = lease;
    this.backend = backend;
    this.runtime = runtime;
    this.clock = clock;
    this.snapshot = snapshot;
    this.monitor = monitor;
  }

  /** Returns the lease. */
  Lease lease() {
    return lease;
  }

  @Override
  public BackendServer backend() {
    return backend;
  }

  @Override
  public boolean canStartCall() {
    long nowNs = clock.nowNs();
    boolean isPaused = nowNs - runtime.lastTickNs() > MAX_TICK_GAP_NS;
    if (isPaused || isReleased.get() || !lease.canStartCall(nowNs)) {
      return false;
    }
    ConfigSnapshot currentSnapshot = snapshot.get();
    if (!currentSnapshot.acceptsNewCalls(backend.name())) {
      return false;
    }
    checkStartInvariants(currentSnapshot);
    return true;
  }

  private void checkStartInvariants(ConfigSnapshot currentSnapshot) {
    boolean isZoneOut = currentSnapshot.zone(backend.zone()).map(Zone::isOut).orElse(true);
    String subject = backend.name().value();
    monitor.checkAtMost(Invariant.NO_START_IN_ZONE_OUT, subject, isZoneOut ? 1 : 0, 0);
    boolean isLeaving =
        currentSnapshot.backend(backend.name()).map(BackendServer::isLeaving).orElse(true);
    monitor.checkAtMost(Invariant.NO_START_ON_LEAVING_BACKEND, subject, isLeaving ? 1 : 0, 0);
  }

  @Override
  public long expiresAtNs() {
    return lease.expiresAtNs();
  }

  @Override
  public void release(CallReport report) {
    if (!isReleased.compareAndSet(false, true)) {
      return;
    }
    if (!runtime.idle().tryRetain(lease, report, clock.nowNs())) {
      runtime.release(lease, report);
    }
  }
}
