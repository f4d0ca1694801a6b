package org.cowslipstair.logic.policy;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.cowslipstair.logic.admission.Permit;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.ConfigSnapshot;
import org.cowslipstair.model.pool.CallReport;

/** Permit without a lease: counts one call of this gateway on its backend server. */
final class BaselinePermit implements Permit {
  private final BackendServer backend;
  private final Supplier<ConfigSnapshot> snapshot;
  private final InFlightCounts counts;
  private final long expiresAtNs;
  private final AtomicBoolean released = new AtomicBoolean();

  BaselinePermit(
      BackendServer backend,
      Supplier<ConfigSnapshot> snapshot,
      InFlightCounts counts,
      long expiresAtNs) {
    this.backend = backend;
    this.snapshot = snapshot;
    this.counts = counts;
    this.expiresAtNs = expiresAtNs;
  }

  @Override
  public BackendServer backend() {
    return backend;
  }

  @Override
  public boolean canStartCall() {
    return !released.get() && snapshot.get().acceptsNewCalls(backend.name());
  }

  @Override
  public long expiresAtNs() {
    return expiresAtNs;
  }

  @Override
  public void release(CallReport report) {
    if (released.compareAndSet(false, true)) {
      counts.callEnded(backend.name());
    }
  }
}
