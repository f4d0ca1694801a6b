package org.cowslipstair.logic.call;

import io.reactivex.rxjava3.core.Scheduler;
import java.util.concurrent.ExecutorService;
import java.util.function.Function;
import java.util.function.Supplier;
import org.cowslipstair.logic.admission.Admission;
import org.cowslipstair.logic.idempotency.IdempotencyGuard;
import org.cowslipstair.model.config.ConfigSnapshot;
import org.cowslipstair.model.config.Service;
import org.cowslipstair.port.BackendTransport;
import org.cowslipstair.port.MonotonicClock;

/**
 * Dependencies of {@link CallService}.
 *
 * @param configuration returns the configuration in force
 * @param admissions returns the admission control of a service according to its policy
 * @param guard lets a call run at most once per idempotency key
 * @param hedgeTimer schedules hedges and the cancellation of losing attempts
 * @param attemptExecutor runs the attempts of calls that may be hedged, each on its own virtual
 *     thread
 */
public record CallPorts(
    Supplier<ConfigSnapshot> configuration,
    Function<Service, Admission> admissions,
    BackendTransport transport,
    IdempotencyGuard guard,
    MonotonicClock clock,
    Scheduler hedgeTimer,
    ExecutorService attemptExecutor) {}
