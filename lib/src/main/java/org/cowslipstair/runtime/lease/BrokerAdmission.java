package org.cowslipstair.runtime.lease;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.cowslipstair.logic.admission.Admission;
import org.cowslipstair.logic.admission.NotAdmittedException;
import org.cowslipstair.logic.admission.Permit;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.logic.lessee.Lease;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.ConfigSnapshot;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.model.pool.PoolId;
import org.cowslipstair.port.MonotonicClock;

/**
 * Admits calls under leases granted by their pool's broker. Called on the thread of each call; an
 * idle lease is acquired without a lock and without the control loop.
 */
public final class BrokerAdmission implements Admission {
  private static final long RESULT_MARGIN_NS = 50_000_000L;
  private final LeaseRuntime runtime;
  private final ZoneName homeZone;
  private final MonotonicClock clock;
  private final Supplier<ConfigSnapshot> snapshot;
  private final InvariantMonitor monitor;
  private final AtomicLong nextCallId = new AtomicLong(1);

  /** Creates an admission. */
  public BrokerAdmission(
      LeaseRuntime runtime,
      ZoneName homeZone,
      MonotonicClock clock,
      Supplier<ConfigSnapshot> snapshot,
      InvariantMonitor monitor) {
    this.runtime = runtime;
    this.homeZone = homeZone;
    this.clock = clock;
    this.snapshot = snapshot;
    this.monitor = monitor;
  }

  @Override
  public Permit admit(AdmissionRequest request) throws NotAdmittedException, InterruptedException {
    Optional<LeasePermit> idlePermit = acquireIdle(request);
    if (idlePermit.isPresent()) {
      return idlePermit.get();
    }
    long callId = nextCallId.getAndIncrement();
    CompletableFuture<Lease> leaseFuture = new CompletableFuture<>();
    runtime.admit(callId, request, leaseFuture);
    return createPermit(awaitLease(callId, request, leaseFuture));
  }

  /** Acquires an idle lease of the home zone's pool; empty if there is none that fits. */
  Optional<LeasePermit> acquireIdle(AdmissionRequest request) {
    PoolId home = new PoolId(request.service(), homeZone);
    long nowNs = clock.nowNs();
    Optional<Lease> idleLease =
        runtime.idle().tryAcquire(home, request.excluded(), request.deadlineNs(), nowNs);
    if (idleLease.isEmpty()) {
      return Optional.empty();
    }
    Lease lease = idleLease.get();
    ConfigSnapshot currentSnapshot = snapshot.get();
    Optional<BackendServer> backend = currentSnapshot.backend(lease.backend());
    if (backend.isEmpty() || !currentSnapshot.acceptsNewCalls(lease.backend())) {
      runtime.release(lease, lease.lastReport());
      return Optional.empty();
    }
    runtime.reused(lease);
    return Optional.of(new LeasePermit(lease, backend.get(), runtime, clock, snapshot, monitor));
  }

  private Lease awaitLease(
      long callId, AdmissionRequest request, CompletableFuture<Lease> leaseFuture)
      throws NotAdmittedException, InterruptedException {
    long waitNs = Math.max(0, request.deadlineNs() - clock.nowNs()) + RESULT_MARGIN_NS;
    try {
      return leaseFuture.get(waitNs, TimeUnit.NANOSECONDS);
    } catch (InterruptedException e) {
      runtime.cancel(callId, leaseFuture);
      throw e;
    } catch (TimeoutException ignored) {
      runtime.cancel(callId, leaseFuture);
      throw new NotAdmittedException(NotRunReason.NO_FREE_SLOT);
    } catch (ExecutionException e) {
      if (e.getCause() instanceof NotAdmittedException notAdmitted) {
        throw notAdmitted;
      }
      throw new IllegalStateException("admission failed", e.getCause());
    }
  }

  /** Creates the permit for a granted lease; releases the lease if its backend server is gone. */
  LeasePermit createPermit(Lease lease) throws NotAdmittedException {
    Optional<BackendServer> backend = snapshot.get().backend(lease.backend());
    if (backend.isEmpty()) {
      runtime.release(lease, CallReport.unused());
      throw new NotAdmittedException(NotRunReason.NO_BACKEND);
    }
    return new LeasePermit(lease, backend.get(), runtime, clock, snapshot, monitor);
  }
}
