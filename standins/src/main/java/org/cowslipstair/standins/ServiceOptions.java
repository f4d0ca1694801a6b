package org.cowslipstair.standins;

import com.beust.jcommander.Parameter;
import org.cowslipstair.standins.backend.BackendBehaviour;
import org.cowslipstair.standins.backend.ServiceTime;

/** Command line options for the behaviour of backend server stand-ins. */
final class ServiceOptions {
  private static final long US_PER_MS = 1_000;

  @Parameter(names = "--service-ms", description = "mean service time of a call in milliseconds")
  private double serviceMs = 20;

  @Parameter(
      names = "--shape",
      description = "distribution of service times: FIXED, EXPONENTIAL or LOGNORMAL")
  private ServiceTime.Shape shape = ServiceTime.Shape.EXPONENTIAL;

  @Parameter(names = "--sigma", description = "sigma of a lognormal distribution")
  private double sigma = 1;

  @Parameter(
      names = "--max-queue",
      description = "maximum number of calls that wait for a slot; -1 for no limit")
  private int maxQueue = -1;

  @Parameter(names = "--seed", description = "seed of the random service times and faults")
  private long seed = 1;

  BackendBehaviour behaviour(int slots) {
    ServiceTime serviceTime = new ServiceTime(shape, Math.round(serviceMs * US_PER_MS), sigma);
    return BackendBehaviour.healthy(slots, serviceTime).withMaxQueue(maxQueue);
  }

  long seed() {
    return seed;
  }
}
