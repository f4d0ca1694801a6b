package org.cowslipstair.logic.call;

import io.reactivex.rxjava3.core.Scheduler;
import java.util.concurrent.ExecutorService;
import java.util.function.Function;
import java.util.function.Supplier;
import org.cowslipstair.logic.admission.Admission;
import org.cowslipstair.logic.attempt.AttemptGuard;
import org.cowslipstair.model.config.ConfigSnapshot;
import org.cowslipstair.model.config.Service;
import org.cowslipstair.port.BackendTransport;
import org.cowslipstair.port.MonotonicClock;

/**
 * What {@link CallService} works with.
 *
 * @param configuration returns the configuration in force
 * @param admissions returns the admission of a service by its policy
 * @param guard lets a call run once per key
 * @param hedgeTimer tells when a hedge is due
 * @param attemptThreads runs the attempts of calls that may be hedged; one virtual thread each
 */
public record CallPorts(
    Supplier<ConfigSnapshot> configuration,
    Function<Service, Admission> admissions,
    BackendTransport transport,
    AttemptGuard guard,
    MonotonicClock clock,
    Scheduler hedgeTimer,
    ExecutorService attemptThreads) {}
