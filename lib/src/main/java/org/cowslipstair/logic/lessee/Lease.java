package org.cowslipstair.logic.lessee;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.model.pool.PoolId;

/** A slot that this gateway holds. Thread-safe: request threads and the control loop share it. */
public final class Lease {
  private final PoolId pool;
  private final long requestNumber;
  private final BackendName backend;
  private final long expiresAtNs;
  private final Optional<GatewayId> granter;
  private final AtomicReference<State> state = new AtomicReference<>(State.IN_USE);
  private volatile boolean canStartCalls = true;
  private volatile boolean canBeReused = true;
  private volatile long idleUntilNs;
  private volatile CallReport lastReport = CallReport.unused();

  private enum State {
    IN_USE,
    IDLE,
    DISCARDED
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

  /** Returns the monotonic time at which the lease expires, in nanoseconds. */
  public long expiresAtNs() {
    return expiresAtNs;
  }

  /** Returns the broker that granted the lease; empty for a slot used without a broker. */
  public Optional<GatewayId> grantingBroker() {
    return granter;
  }

  /** Returns whether a call may be sent under the lease. */
  public boolean canStartCall(long nowNs) {
    return canStartCalls && state.get() == State.IN_USE && nowNs < expiresAtNs;
  }

  /** Returns the report of the last call that ended under the lease. */
  public CallReport lastReport() {
    return lastReport;
  }

  /** Forbids further calls; a call that was already sent continues. */
  void forbidNewCalls() {
    canStartCalls = false;
  }

  /** Makes the lease end with its current call. */
  void forbidReuse() {
    canBeReused = false;
  }

  /** Marks the lease idle for the next call; returns false if it must be released instead. */
  boolean tryMakeIdle(CallReport report, long untilNs) {
    if (!canStartCalls || !canBeReused || state.get() != State.IN_USE) {
      return false;
    }
    lastReport = report;
    idleUntilNs = Math.min(untilNs, expiresAtNs);
    return state.compareAndSet(State.IN_USE, State.IDLE);
  }

  /** Acquires an idle lease for a call; only one of several concurrent attempts succeeds. */
  boolean tryAcquire(long nowNs) {
    return canStartCalls && nowNs < idleUntilNs && state.compareAndSet(State.IDLE, State.IN_USE);
  }

  /** Discards an idle lease permanently; returns false if it is not idle. */
  boolean tryDiscard() {
    return state.compareAndSet(State.IDLE, State.DISCARDED);
  }

  boolean hasIdleTimePassed(long nowNs) {
    return state.get() == State.IDLE && nowNs >= idleUntilNs;
  }

  boolean isDiscarded() {
    return state.get() == State.DISCARDED;
  }

  boolean isInUse() {
    return state.get() == State.IN_USE;
  }
}
