package org.cowslipstair.standins;

import com.beust.jcommander.Parameter;
import org.cowslipstair.standins.backend.BackendBehaviour;
import org.cowslipstair.standins.backend.ServiceTime;

/** Options for the behaviour of stand-ins of backend servers. */
final class ServiceOptions {
  private static final long US_PER_MS = 1_000;

  @Parameter(names = "--service-ms", description = "mean time that a call takes")
  private double serviceMs = 20;

  @Parameter(names = "--shape", description = "distribution: FIXED, EXPONENTIAL or LOGNORMAL")
  private ServiceTime.Shape shape = ServiceTime.Shape.EXPONENTIAL;

  @Parameter(names = "--sigma", description = "spread of a lognormal distribution")
  private double sigma = 1;

  @Parameter(names = "--max-queue", description = "calls that wait for a slot; -1 for any number")
  private int maxQueue = -1;

  @Parameter(names = "--seed", description = "seed of service times and faults")
  private long seed = 1;

  BackendBehaviour behaviour(int slots) {
    ServiceTime serviceTime = new ServiceTime(shape, Math.round(serviceMs * US_PER_MS), sigma);
    return BackendBehaviour.healthy(slots, serviceTime).withMaxQueue(maxQueue);
  }

  long seed() {
    return seed;
  }
}
