package org.cowslipstair.logic.budget;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.traffic.WeightedService;
import org.junit.jupiter.api.Test;

/** Checks that the shares of all gateways together stay within the fleet-wide budgets. */
final class FleetBudgetsTest {
  private static final long NS_PER_MS = 1_000_000L;
  private static final long SECOND_NS = 1_000_000_000L;

  private static List<String> gatewayNames(int from, int to) {
    return IntStream.range(from, to).mapToObj(i -> "g-" + i).toList();
  }

  @Property(seed = "5501", tries = 100)
  void retriesStayWithinTheBudgetInEveryWindow(
      @ForAll @IntRange(min = 1, max = 40) int gateways, @ForAll long seed) {
    double slack = 64;
    double ratio = 0.2;
    int steps = 600;
    int window = 100;
    Random random = new Random(seed);
    List<RetryBudget> budgets = new ArrayList<>();
    for (int i = 0; i < gateways; i++) {
      RetryBudget budget = new RetryBudget("s", ratio, random, InvariantMonitor.failing());
      budget.setShare(slack, gateways);
      budgets.add(budget);
    }
    int[] requests = new int[steps + 1];
    int[] retries = new int[steps + 1];
    for (int step = 0; step < steps; step++) {
      boolean busy = step / 50 % 3 == 0;
      for (RetryBudget budget : budgets) {
        boolean hasRequest = busy && random.nextInt(3) == 0;
        requests[step + 1] += hasRequest ? 1 : 0;
        if (hasRequest) {
          budget.recordRequest();
        }
        retries[step + 1] += random.nextInt(4) == 0 && budget.tryAcquireRetry() ? 1 : 0;
      }
      requests[step + 1] += requests[step];
      retries[step + 1] += retries[step];
    }
    for (int end = window; end <= steps; end++) {
      int sent = retries[end] - retries[end - window];
      int requested = requests[end] - requests[end - window];
      assertThat((double) sent, lessThanOrEqualTo(ratio * requested + slack));
    }
  }

  /**
   * Each of 410 gateways keeps a token of its own though the fleet may make only 64 sends beyond
   * the first: after a calm time, one bad second spends them all.
   */
  @Property(seed = "5504", tries = 40)
  void gatewaysThatShareLessThanATokenEachStayWithinTheBudget(
      @ForAll @IntRange(min = 65, max = 410) int gateways,
      @ForAll @IntRange(min = 50, max = 600) int requestsInBadSecond,
      @ForAll long seed) {
    double slack = 64;
    double ratio = 0.2;
    Random random = new Random(seed);
    List<RetryBudget> budgets = new ArrayList<>();
    for (int i = 0; i < gateways; i++) {
      RetryBudget budget = new RetryBudget("s", ratio, random, InvariantMonitor.failing());
      budget.setShare(slack, gateways);
      budgets.add(budget);
    }
    for (int i = 0; i < 20 * gateways; i++) {
      budgets.get(random.nextInt(gateways)).recordRequest();
    }
    int retries = 0;
    for (int i = 0; i < requestsInBadSecond; i++) {
      RetryBudget budget = budgets.get(random.nextInt(gateways));
      budget.recordRequest();
      retries += budget.tryAcquireRetry() ? 1 : 0;
    }
    assertThat((double) retries, lessThanOrEqualTo(ratio * requestsInBadSecond + slack));
    assertThat((double) retries, greaterThan(0.5 * ratio * requestsInBadSecond));
  }

  /**
   * A failing service makes the whole fleet spend its budget; then all gateways restart and would
   * spend it once more in the same window.
   */
  @Property(seed = "2805", tries = 100)
  void retriesStayWithinTheBudgetWhenAllGatewaysRestartInAWindow(
      @ForAll @IntRange(min = 1, max = 410) int gateways,
      @ForAll @IntRange(min = 50, max = 600) int requests,
      @ForAll long seed) {
    double slack = 64;
    double ratio = 0.2;
    Random random = new Random(seed);
    List<RetryBudget> budgets = newBudgets(gateways, ratio, slack, random);
    for (int i = 0; i < 20 * gateways; i++) {
      budgets.get(random.nextInt(gateways)).recordRequest();
    }
    int retries = failRequests(budgets, requests / 2, random);
    budgets = newBudgets(gateways, ratio, slack, random);
    retries += failRequests(budgets, requests - requests / 2, random);
    assertThat((double) retries, lessThanOrEqualTo(ratio * requests + slack));
  }

  private static List<RetryBudget> newBudgets(
      int gateways, double ratio, double slack, Random random) {
    List<RetryBudget> budgets = new ArrayList<>();
    for (int i = 0; i < gateways; i++) {
      RetryBudget budget = new RetryBudget("s", ratio, random, InvariantMonitor.failing());
      budget.setShare(slack, gateways);
      budgets.add(budget);
    }
    return budgets;
  }

  /** Lets requests and their first retries fail; returns the number of retries. */
  private static int failRequests(List<RetryBudget> budgets, int requests, Random random) {
    int retries = 0;
    for (int i = 0; i < requests; i++) {
      RetryBudget budget = budgets.get(random.nextInt(budgets.size()));
      budget.recordRequest();
      for (int retry = 0; retry < 2 && budget.tryAcquireRetry(); retry++) {
        retries++;
      }
    }
    return retries;
  }

  /**
   * A calm minute of a large fleet: 152 gateways share a slack of 230, and each gets a request of
   * the service every 600 ms.
   */
  @Test
  void gatewayOfALargeFleetHedgesFromAFullBudget() {
    RetryBudget budget = new RetryBudget("s", 0.2, new Random(1), InvariantMonitor.failing());
    budget.setShare(230, 152);
    int requests = 100;
    int hedges = 0;
    for (int i = 0; i < requests; i++) {
      budget.recordRequest();
      hedges += budget.tryAcquireHedge() ? 1 : 0;
    }
    assertThat(hedges, greaterThan(requests / 10));
    assertThat((double) hedges, lessThanOrEqualTo(0.2 * requests + 230.0 / 152));
  }

  @Test
  void hedgesLeavePartOfALargeBudgetToRetries() {
    RetryBudget budget = new RetryBudget("s", 0.2, new Random(1), InvariantMonitor.failing());
    budget.setShare(100, 1);
    for (int i = 0; i < 1_000; i++) {
      budget.recordRequest();
    }
    while (budget.canAcquireHedge()) {
      assertThat(budget.tryAcquireHedge(), is(true));
    }
    int retries = 0;
    while (budget.tryAcquireRetry()) {
      retries++;
    }
    assertThat(retries, greaterThan(30));
  }

  @Property(seed = "5502", tries = 100)
  void coldRateStaysWithinTheLimitWithTwoViewsOfTheFleet(
      @ForAll @IntRange(min = 2, max = 40) int gateways, @ForAll long seed) {
    double coldRequestsPerSecond = 5.4 * 1.5 + 5;
    BackendName backend = new BackendName("b");
    Random random = new Random(seed);
    int firstViewSize = gateways / 2;
    List<Long> sentNs = new ArrayList<>();
    Map<String, ColdSendLimiter> limiters = new HashMap<>();
    gatewayNames(0, gateways)
        .forEach(name -> limiters.put(name, new ColdSendLimiter(name, InvariantMonitor.failing())));
    for (long nowNs = 0; nowNs < 5 * SECOND_NS; nowNs += NS_PER_MS * (1 + random.nextInt(20))) {
      int gatewayIndex = random.nextInt(gateways);
      List<String> view =
          gatewayIndex < firstViewSize
              ? gatewayNames(0, firstViewSize)
              : gatewayNames(firstViewSize, gateways);
      ColdSendLimiter limiter = limiters.get("g-" + gatewayIndex);
      if (limiter != null && limiter.maySend(backend, coldRequestsPerSecond, view, nowNs)) {
        limiter.recordSend(backend, nowNs);
        sentNs.add(nowNs);
      }
    }
    for (long startNs : sentNs) {
      long inSecond =
          sentNs.stream().filter(ns -> ns >= startNs && ns < startNs + SECOND_NS).count();
      assertThat((double) inSecond, lessThanOrEqualTo(coldRequestsPerSecond));
    }
    assertThat(sentNs.size(), greaterThan(0));
  }

  @Test
  void coldBackendReceivesNoRequestsWhileTheFleetIsUnknown() {
    ColdSendLimiter limiter = new ColdSendLimiter("g", InvariantMonitor.failing());
    assertThat(limiter.maySend(new BackendName("b"), 100, List.of(), 0), is(false));
  }

  @Test
  void probesStayWithinTheirRate() {
    ProbeRateLimiter limiter = new ProbeRateLimiter(60, InvariantMonitor.failing(), 0);
    limiter.setShare(36, 19);
    long acquired = 0;
    for (long nowNs = 0; nowNs < 20 * SECOND_NS; nowNs += NS_PER_MS) {
      acquired += limiter.tryAcquire(nowNs) ? 1 : 0;
    }
    assertThat((double) acquired * 19, lessThanOrEqualTo(60.0 * 36 * 20));
    assertThat(acquired, greaterThan(0L));
  }

  @Test
  void newGatewayMayProbeAtOnce() {
    ProbeRateLimiter limiter = new ProbeRateLimiter(60, InvariantMonitor.failing(), 0);
    limiter.setShare(36, 19);
    int acquired = 0;
    while (limiter.tryAcquire(0)) {
      acquired++;
    }
    double tokensPerSecond = 0.5 * 60 * 36 / 19;
    assertThat((double) acquired, closeTo(2 * tokensPerSecond, 1));
  }

  @Test
  void probesAreScarceBelowHalfASecondOfRefill() {
    ProbeRateLimiter limiter = new ProbeRateLimiter(60, InvariantMonitor.failing(), 0);
    limiter.setShare(36, 19);
    assertThat(limiter.isScarce(0), is(false));
    while (!limiter.isScarce(0)) {
      assertThat(limiter.tryAcquire(0), is(true));
    }
    assertThat(limiter.tryAcquire(0), is(true));
    assertThat(limiter.isScarce(SECOND_NS), is(false));
  }

  @Test
  void gatewaysRestartingEveryTwoSecondsStayWithinTheRate() {
    long acquired = 0;
    for (int restart = 0; restart < 10; restart++) {
      ProbeRateLimiter limiter = new ProbeRateLimiter(60, InvariantMonitor.failing(), 0);
      limiter.setShare(36, 19);
      for (long nowNs = 0; nowNs < 2 * SECOND_NS; nowNs += NS_PER_MS) {
        acquired += limiter.tryAcquire(nowNs) ? 1 : 0;
      }
    }
    assertThat((double) acquired * 19, lessThanOrEqualTo(60.0 * 36 * 20));
  }

  @Property(seed = "5503", tries = 100)
  void splitMatchesItsWeightsAcrossManyGateways(@ForAll long seed) {
    ServiceName small = new ServiceName("small");
    List<WeightedService> split =
        List.of(new WeightedService(new ServiceName("big"), 90), new WeightedService(small, 10));
    int smallCount = 0;
    for (int gateway = 0; gateway < 20; gateway++) {
      WeightedServiceSelector selector = new WeightedServiceSelector(new Random(seed + gateway));
      for (int i = 0; i < 15; i++) {
        smallCount += selector.next(split).equals(small) ? 1 : 0;
      }
    }
    assertThat(smallCount / 300.0, closeTo(0.1, 0.1));
  }

  @Test
  void serviceOfWeightZeroReceivesNoRequests() {
    ServiceName unused = new ServiceName("none");
    List<WeightedService> split =
        List.of(new WeightedService(unused, 0), new WeightedService(new ServiceName("all"), 5));
    WeightedServiceSelector selector = new WeightedServiceSelector(new Random(3));
    for (int i = 0; i < 100; i++) {
      assertThat(selector.next(split).equals(unused), is(false));
    }
  }
}
