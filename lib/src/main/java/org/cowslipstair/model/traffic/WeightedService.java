package org.cowslipstair.model.traffic;

import org.cowslipstair.model.config.ServiceName;

/**
 * One part of a traffic split.
 *
 * @param weight share of the requests, relative to the weights of the other parts
 */
public record WeightedService(ServiceName service, double weight) {
  /** Validates the weight. */
  public WeightedService {
    if (!(weight >= 0) || Double.isInfinite(weight)) {
      throw new IllegalArgumentException(
          "weight %s is not a finite number of at least 0".formatted(weight));
    }
  }
}
