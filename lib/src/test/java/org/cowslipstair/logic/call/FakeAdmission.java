package org.cowslipstair.logic.call;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import org.cowslipstair.logic.admission.Admission;
import org.cowslipstair.logic.admission.NotAdmittedException;
import org.cowslipstair.logic.admission.Permit;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.pool.CallReport;

/** Grants slots on the backend servers that are not excluded, round-robin. */
final class FakeAdmission implements Admission {
  private final List<BackendServer> backends;
  private final AtomicInteger nextIndex = new AtomicInteger();
  final AtomicInteger heldSlots = new AtomicInteger();
  final Queue<Released> released = new ConcurrentLinkedQueue<>();
  final List<AdmissionRequest> requests = new CopyOnWriteArrayList<>();
  volatile Predicate<AdmissionRequest> shouldRefuse = _ -> false;
  volatile Predicate<BackendName> isOffered = _ -> true;
  volatile Predicate<BackendName> mayStart = _ -> true;

  FakeAdmission(List<BackendServer> backends) {
    this.backends = backends;
  }

  record Released(BackendName backend, CallReport report) {}

  @Override
  public Permit admit(AdmissionRequest request) throws NotAdmittedException {
    requests.add(request);
    if (shouldRefuse.test(request)) {
      throw new NotAdmittedException(NotRunReason.NO_FREE_SLOT);
    }
    int first = nextIndex.getAndIncrement();
    for (int i = 0; i < backends.size(); i++) {
      BackendServer backend = backends.get(Math.floorMod(first + i, backends.size()));
      if (isOffered.test(backend.name()) && !request.excluded().contains(backend.name())) {
        heldSlots.incrementAndGet();
        return new FakePermit(backend);
      }
    }
    throw new NotAdmittedException(NotRunReason.NO_BACKEND);
  }

  private final class FakePermit implements Permit {
    private final BackendServer backend;
    private final AtomicBoolean isReleased = new AtomicBoolean();

    FakePermit(BackendServer backend) {
      this.backend = backend;
    }

    @Override
    public BackendServer backend() {
      return backend;
    }

    @Override
    public boolean canStartCall() {
      return mayStart.test(backend.name());
    }

    @Override
    public long expiresAtNs() {
      return Long.MAX_VALUE;
    }

    @Override
    public void release(CallReport report) {
      if (isReleased.compareAndSet(false, true)) {
        heldSlots.decrementAndGet();
        released.add(new Released(backend.name(), report));
      }
    }
  }
}
