package org.cowslipstair.logic.rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.rollout.RolloutOrder;
import org.cowslipstair.model.rollout.RolloutPolicy;
import org.cowslipstair.model.rollout.RolloutStatus;
import org.cowslipstair.model.rollout.ServiceVersion;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class VersionShareTest {
  private static final RolloutPolicy POLICY = new RolloutPolicy(0.1, 50, 5_000);
  private static final ServiceVersion OLD = new ServiceVersion("v1");
  private static final ServiceVersion TARGET = new ServiceVersion("v2");
  private static final Set<ServiceVersion> BOTH = Set.of(OLD, TARGET);
  private static final long NS_PER_MS = 1_000_000L;

  private final Random random = new Random(1);
  private final VersionShare share = new VersionShare(POLICY);

  private static Optional<RolloutOrder> order(ServiceVersion target, RolloutStatus.State... state) {
    Optional<RolloutStatus> status =
        state.length == 0 ? Optional.empty() : Optional.of(new RolloutStatus(state[0], target));
    return Optional.of(new RolloutOrder("s", 7, new ServiceName("s"), target, 15_000, status));
  }

  private boolean mayGoToTarget(VersionShare at, long nowNs) {
    return at.choose(random, nowNs).allows(Optional.of(TARGET));
  }

  private int sendsToTarget(VersionShare at, int sends, long nowNs) {
    int toTarget = 0;
    for (int i = 0; i < sends; i++) {
      toTarget += mayGoToTarget(at, nowNs) ? 1 : 0;
    }
    return toTarget;
  }

  /** Some gateways restart in the midst and some have not seen the servers of the new version. */
  @ParameterizedTest
  @ValueSource(ints = {19, 108, 410})
  void sumOverTheFleetKeepsTheShareWhateverGatewaysKnow(int gatewayCount) {
    List<VersionShare> gateways = new ArrayList<>();
    for (int i = 0; i < gatewayCount; i++) {
      gateways.add(new VersionShare(POLICY));
    }
    int sends = 0;
    int toTarget = 0;
    for (int round = 0; round < 40; round++) {
      for (int i = 0; i < gatewayCount; i++) {
        if (random.nextInt(20) == 0) {
          gateways.set(i, new VersionShare(POLICY));
        }
        Set<ServiceVersion> seen = random.nextInt(5) == 0 ? Set.of(OLD) : BOTH;
        gateways.get(i).update(order(TARGET), seen, false, round);
        toTarget += sendsToTarget(gateways.get(i), 5, round);
        sends += 5;
        double allowed = POLICY.canaryShare() * sends + POLICY.canarySlackRequests();
        assertThat((double) toTarget, lessThanOrEqualTo(allowed));
      }
    }
  }

  @Property(seed = "1", tries = 200)
  void rolledBackVersionGetsNothingWhateverIsToldAfterwards(@ForAll long seed) {
    Random told = new Random(seed);
    share.update(order(TARGET), BOTH, false, 0);
    share.direct(new Directive.OnlyOthers(), 1);
    share.direct(
        told.nextBoolean() ? new Directive.OnlyTarget() : new Directive.Share(told.nextDouble()),
        1_000_000);
    assertThat(sendsToTarget(share, 20, told.nextInt(1_000_000)), is(0));
  }

  @Test
  void widerShareEndsWithItsLease() {
    share.update(order(TARGET), BOTH, false, 0);
    share.direct(new Directive.Share(1), 1_000 * NS_PER_MS);
    assertThat(sendsToTarget(share, 100, 999 * NS_PER_MS), is(100));
    assertThat(sendsToTarget(share, 100, 1_001 * NS_PER_MS), lessThanOrEqualTo(20));
  }

  @Test
  void versionThatIsNewIsHeldBackUntilItsOrderIsRead() {
    share.update(Optional.empty(), Set.of(OLD), false, 0);
    share.update(Optional.empty(), BOTH, false, 10);
    assertThat(sendsToTarget(share, 50, 20), is(0));
    assertThat(mayGoToTarget(share, 10 + VersionShare.HOLD_NS), is(true));
    share.update(order(TARGET), BOTH, false, 30);
    share.direct(new Directive.Share(1), 1_000);
    assertThat(mayGoToTarget(share, 40), is(true));
  }

  @Test
  void firstVersionsOfAServiceAreNotHeldBack() {
    share.update(Optional.empty(), BOTH, false, 0);
    assertThat(share.choose(random, 1), equalTo(new VersionChoice.Any()));
  }

  @Test
  void newVersionServesAloneWhereThereIsNoOther() {
    share.update(order(TARGET), Set.of(TARGET), false, 0);
    assertThat(sendsToTarget(share, 20, 1), is(20));
  }

  @Test
  void otherVersionsServeWhileNoServerOfTheNewOneIsKnown() {
    share.update(order(TARGET), Set.of(OLD), false, 0);
    share.direct(new Directive.OnlyTarget(), 1_000);
    assertThat(
        share.choose(random, 1).alternative().orElseThrow().allows(Optional.of(OLD)), is(true));
  }

  @Test
  void versionOfAWithdrawnOrderStaysOut() {
    share.update(order(TARGET), BOTH, false, 0);
    share.update(Optional.empty(), BOTH, false, 10);
    assertThat(sendsToTarget(share, 50, 20), is(0));
  }

  @Test
  void orderGivenAnewAfterARollbackIsCarriedOut() {
    share.update(order(TARGET, RolloutStatus.State.ROLLED_BACK), BOTH, false, 0);
    assertThat(sendsToTarget(share, 50, 1), is(0));
    share.update(order(TARGET), BOTH, false, 10);
    share.direct(new Directive.Share(1), 1_000);
    assertThat(sendsToTarget(share, 50, 20), is(50));
  }

  @Test
  void otherVersionsGetNothingOnceTheRolloutIsDone() {
    share.update(order(TARGET), BOTH, false, 0);
    share.update(order(TARGET, RolloutStatus.State.DONE), BOTH, false, 10);
    assertThat(share.choose(random, 20).allows(Optional.of(OLD)), is(false));
    assertThat(sendsToTarget(share, 50, 20), is(50));
  }

  @Test
  void laterVersionServesAfterTheRolloutIsDone() {
    ServiceVersion later = new ServiceVersion("v3");
    share.update(order(TARGET), BOTH, false, 0);
    share.update(order(TARGET, RolloutStatus.State.DONE), BOTH, false, 10);
    share.update(order(TARGET, RolloutStatus.State.DONE), Set.of(TARGET, later), false, 20);
    VersionChoice choice = share.choose(random, 20 + VersionShare.HOLD_NS);
    assertThat(choice.allows(Optional.of(later)), is(true));
  }
}
