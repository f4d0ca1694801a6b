package org.cowslipstair.logic.budget;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.traffic.WeightedService;

/**
 * Distributes the requests of a route over the services of its traffic split, so that the weights
 * hold over short sequences too. The starting point is random, because each of the many gateways of
 * a fleet sees only a few requests. Not thread-safe.
 */
public final class WeightedServiceSelector {
  private final RandomGenerator random;
  private final Map<ServiceName, Double> credits = new HashMap<>();
  private List<WeightedService> split = List.of();

  /** Creates a selector. */
  public WeightedServiceSelector(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Returns the service of the next request.
   *
   * @param currentSplit the split in force, not empty; a change restarts the sequence
   */
  public ServiceName next(List<WeightedService> currentSplit) {
    if (currentSplit.size() == 1) {
      return currentSplit.getFirst().service();
    }
    if (!currentSplit.equals(split)) {
      restart(currentSplit);
    }
    double total = split.stream().mapToDouble(WeightedService::weight).sum();
    WeightedService best = split.getFirst();
    double bestCredit = Double.NEGATIVE_INFINITY;
    for (WeightedService candidate : split) {
      double share = total == 0 ? 1.0 / split.size() : candidate.weight() / total;
      double credit = credits.merge(candidate.service(), share, Double::sum);
      if (credit > bestCredit && (candidate.weight() > 0 || total == 0)) {
        best = candidate;
        bestCredit = credit;
      }
    }
    credits.merge(best.service(), -1.0, Double::sum);
    return best.service();
  }

  private void restart(List<WeightedService> currentSplit) {
    split = currentSplit;
    credits.clear();
    double total = split.stream().mapToDouble(WeightedService::weight).sum();
    double remainingDraw = random.nextDouble() * total;
    for (WeightedService candidate : split) {
      boolean isChosen = remainingDraw >= 0 && remainingDraw < candidate.weight();
      remainingDraw -= candidate.weight();
      double share = total == 0 ? 0 : candidate.weight() / total;
      credits.put(
          candidate.service(),
          isChosen ? share - random.nextDouble() : share * random.nextDouble());
    }
  }
}
