package org.cowslipstair.logic.lessee;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.model.pool.PoolId;

/** A slot that this gateway holds. Request threads and the control loop share it. */
public final class Lease {
  private final PoolId pool;
  private final long requestNumber;
  private final BackendName backend;
  private final long expiresAtNs;
  private final Optional<GatewayId> granter;
  private final AtomicReference<Use> use = new AtomicReference<>(Use.IN_USE);
  private volatile boolean startable = true;
  private volatile boolean reusable = true;
  private volatile long idleUntilNs;
  private volatile CallReport lastReport = CallReport.unused();

  private enum Use {
    IN_USE,
    IDLE,
    GONE
  }

  Lease(
      PoolId pool,
      long requestNumber,
      BackendName backend,
      long expiresAtNs,
      Optional<GatewayId> granter) {
    this.pool = pool;
    this.requestNumber = requestNumber;
    this.backend = backend;
    this.expiresAtNs = expiresAtNs;
    this.granter = granter;
  }

  /** Returns the pool. */
  public PoolId pool() {
    return pool;
  }

  /** Returns the request number under which the lease was granted. */
  public long requestNumber() {
    return requestNumber;
  }

  /** Returns the backend server. */
  public BackendName backend() {
    return backend;
  }

  /** Returns the monotonic time at which the lease ends. */
  public long expiresAtNs() {
    return expiresAtNs;
  }

  /** Returns the broker that granted the lease; empty if the slot was taken without one. */
  public Optional<GatewayId> granter() {
    return granter;
  }

  /** Returns whether a call may be sent under the lease. */
  public boolean mayStart(long nowNs) {
    return startable && use.get() == Use.IN_USE && nowNs < expiresAtNs;
  }

  /** Returns the report of the last call that ended under the lease. */
  public CallReport lastReport() {
    return lastReport;
  }

  /** Forbids further calls; one that was sent goes on. */
  void forbidStart() {
    startable = false;
  }

  /** Lets the lease end with its call. */
  void forbidReuse() {
    reusable = false;
  }

  /** Keeps the lease for the next call; returns false if it must be given back instead. */
  boolean becomeIdle(CallReport report, long untilNs) {
    if (!startable || !reusable || use.get() != Use.IN_USE) {
      return false;
    }
    lastReport = report;
    idleUntilNs = Math.min(untilNs, expiresAtNs);
    return use.compareAndSet(Use.IN_USE, Use.IDLE);
  }

  /** Takes an idle lease for a call; only one taker succeeds. */
  boolean take(long nowNs) {
    return startable && nowNs < idleUntilNs && use.compareAndSet(Use.IDLE, Use.IN_USE);
  }

  /** Takes an idle lease out of use for good. */
  boolean drop() {
    return use.compareAndSet(Use.IDLE, Use.GONE);
  }

  boolean isIdleSince(long nowNs) {
    return use.get() == Use.IDLE && nowNs >= idleUntilNs;
  }

  boolean isGone() {
    return use.get() == Use.GONE;
  }

  boolean isInUse() {
    return use.get() == Use.IN_USE;
  }
}
