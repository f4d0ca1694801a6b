package org.cowslipstair.standins.backend;

import java.util.random.RandomGenerator;

/**
 * Distribution of the service time of a call on a healthy backend server.
 *
 * @param meanUs mean service time in microseconds
 * @param sigma standard deviation of the logarithm; only for {@link Shape#LOGNORMAL}
 */
public record ServiceTime(Shape shape, long meanUs, double sigma) {
  private static final long NS_PER_US = 1_000;

  /** Shapes of the distribution. */
  public enum Shape {
    FIXED,
    EXPONENTIAL,
    LOGNORMAL
  }

  /** Returns a constant service time. */
  public static ServiceTime fixed(long meanUs) {
    return new ServiceTime(Shape.FIXED, meanUs, 0);
  }

  /** Returns an exponential distribution with the given mean. */
  public static ServiceTime exponential(long meanUs) {
    return new ServiceTime(Shape.EXPONENTIAL, meanUs, 0);
  }

  /** Returns a lognormal distribution with the given mean. */
  public static ServiceTime lognormal(long meanUs, double sigma) {
    return new ServiceTime(Shape.LOGNORMAL, meanUs, sigma);
  }

  long sampleNs(RandomGenerator random) {
    double factor =
        switch (shape) {
          case FIXED -> 1;
          case EXPONENTIAL -> random.nextExponential();
          case LOGNORMAL -> Math.exp(random.nextGaussian() * sigma - sigma * sigma / 2);
        };
    return Math.round(factor * meanUs * NS_PER_US);
  }
}
