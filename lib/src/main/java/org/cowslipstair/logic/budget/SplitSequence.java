package org.cowslipstair.logic.budget;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.traffic.WeightedService;

/**
 * Deals the requests of a route to the parts of its split, so that the shares hold over short
 * stretches too. The start is random, as the many gateways of a fleet each see few requests.
 */
public final class SplitSequence {
  private final RandomGenerator random;
  private final Map<ServiceName, Double> credit = new HashMap<>();
  private List<WeightedService> parts = List.of();

  /** Creates a sequence. */
  public SplitSequence(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Returns the service of the next request.
   *
   * @param current the parts now in force; a change starts the sequence anew
   */
  public ServiceName next(List<WeightedService> current) {
    if (current.size() == 1) {
      return current.getFirst().service();
    }
    if (!current.equals(parts)) {
      restart(current);
    }
    double total = parts.stream().mapToDouble(WeightedService::weight).sum();
    WeightedService best = parts.getFirst();
    double bestCredit = Double.NEGATIVE_INFINITY;
    for (WeightedService part : parts) {
      double share = total == 0 ? 1.0 / parts.size() : part.weight() / total;
      double held = credit.merge(part.service(), share, Double::sum);
      if (held > bestCredit && (part.weight() > 0 || total == 0)) {
        best = part;
        bestCredit = held;
      }
    }
    credit.merge(best.service(), -1.0, Double::sum);
    return best.service();
  }

  private void restart(List<WeightedService> current) {
    parts = current;
    credit.clear();
    double total = parts.stream().mapToDouble(WeightedService::weight).sum();
    double drawn = random.nextDouble() * total;
    for (WeightedService part : parts) {
      boolean chosen = drawn >= 0 && drawn < part.weight();
      drawn -= part.weight();
      double share = total == 0 ? 0 : part.weight() / total;
      credit.put(
          part.service(), chosen ? share - random.nextDouble() : share * random.nextDouble());
    }
  }
}
