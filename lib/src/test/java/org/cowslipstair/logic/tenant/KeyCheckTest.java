package org.cowslipstair.logic.tenant;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cowslipstair.model.call.NotRunReason;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.tenant.KeyDigest;
import org.cowslipstair.model.tenant.Tenant;
import org.cowslipstair.model.tenant.TenantName;
import org.cowslipstair.model.traffic.CallerBounds;
import org.cowslipstair.model.traffic.RequestKind;
import org.cowslipstair.model.traffic.Route;
import org.cowslipstair.model.traffic.TrafficPlan;
import org.cowslipstair.model.traffic.WeightedService;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class KeyCheckTest {
  private static final Tenant ALPHA = tenant("alpha", "k-1", "k-2");
  private static final Tenant BETA = tenant("beta", "k-3");
  private static final Route ROUTE = route(false);
  private static final Route ANONYMOUS_ROUTE = route(true);
  private static final TrafficPlan PLAN = plan(ALPHA, BETA);
  private static final Optional<KeyDigest> K1 = Optional.of(KeyDigest.of("k-1"));

  private static Tenant tenant(String name, String... keys) {
    Set<KeyDigest> digests = Set.copyOf(Arrays.stream(keys).map(KeyDigest::of).distinct().toList());
    return new Tenant(new TenantName(name), digests, Optional.empty(), OptionalInt.empty());
  }

  private static TrafficPlan plan(Tenant... tenants) {
    return new TrafficPlan(
        1, CallerBounds.defaults(), List.of(), List.of(ROUTE, ANONYMOUS_ROUTE), List.of(tenants));
  }

  private static Route route(boolean anonymous) {
    return new Route(
        "r",
        "a.example",
        "/p/",
        RequestKind.SAFE,
        1_000,
        100,
        0,
        2,
        List.of(new WeightedService(new ServiceName("s"), 1)),
        anonymous);
  }

  private static KeyCheck.Verdict check(String... authorization) {
    return KeyCheck.check(PLAN, ROUTE, List.of(authorization), () -> true);
  }

  @Test
  void keyIdentifiesItsTenant() {
    assertThat(check("Token k-1"), is(new KeyCheck.Verdict.Accepted(ALPHA, KeyDigest.of("k-1"))));
    assertThat(check("token   k-3"), is(new KeyCheck.Verdict.Accepted(BETA, KeyDigest.of("k-3"))));
  }

  @Test
  void nothingIsCheckedWithoutTenants() {
    List<String> authorization = List.of("Basic abc");
    assertThat(
        KeyCheck.check(plan(), ROUTE, authorization, () -> false),
        instanceOf(KeyCheck.Verdict.NotNeeded.class));
  }

  @Test
  void anonymousRouteBelongsToNoTenant() {
    assertThat(
        KeyCheck.check(PLAN, ANONYMOUS_ROUTE, List.of("Token k-1"), () -> false),
        instanceOf(KeyCheck.Verdict.Anonymous.class));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "Token",
        "Token ",
        "Token  ",
        "k-1",
        "Basic k-1",
        "Bearer k-1",
        "TokenX k-1",
        "Token\tk-1",
        "Token k-1,",
        "Token k-1 ",
        "Token k-1 k-1",
        "Token k-1, Token k-1",
        "Token \"k-1\"",
        "Token k-\u00e9",
        "Token k-1\u0000",
        "Token K-1",
        "Token k-",
        "Token k-11",
        " Token k-1"
      })
  void anythingElseIsUnknown(String value) {
    assertThat(check(value), instanceOf(KeyCheck.Verdict.Unknown.class));
  }

  @Test
  void noFieldOrTwoFieldsAreUnknown() {
    assertThat(check(), instanceOf(KeyCheck.Verdict.Unknown.class));
    assertThat(check("Token k-1", "Token k-1"), instanceOf(KeyCheck.Verdict.Unknown.class));
    assertThat(check("Token k-1", "Basic x"), instanceOf(KeyCheck.Verdict.Unknown.class));
  }

  @Test
  void veryLongKeyIsUnknownEvenIfConfigured() {
    String longest = "k".repeat(KeyCheck.MAX_KEY_CHARS);
    Tenant tenant = tenant("long", longest, longest + "k");
    TrafficPlan plan = plan(tenant);
    assertThat(
        KeyCheck.check(plan, ROUTE, List.of("Token " + longest), () -> true),
        instanceOf(KeyCheck.Verdict.Accepted.class));
    assertThat(
        KeyCheck.check(plan, ROUTE, List.of("Token k" + longest), () -> true),
        instanceOf(KeyCheck.Verdict.Unknown.class));
  }

  /** The key may be in a configuration that is not known here yet. */
  @Test
  void unknownKeyIsNoProofWhileThePlanMayBeOutdated() {
    assertThat(
        KeyCheck.check(PLAN, ROUTE, List.of("Token k-9"), () -> false),
        instanceOf(KeyCheck.Verdict.Outdated.class));
    assertThat(
        KeyCheck.check(PLAN, ROUTE, List.of("Token k-1"), () -> false),
        instanceOf(KeyCheck.Verdict.Accepted.class));
  }

  @Test
  void keyOfTwoTenantsIdentifiesNeither() {
    TrafficPlan plan = plan(tenant("a", "own", "both"), tenant("b", "both"), tenant("c", "both"));
    assertThat(
        KeyCheck.check(plan, ROUTE, List.of("Token both"), () -> true),
        instanceOf(KeyCheck.Verdict.Unknown.class));
    assertThat(
        KeyCheck.check(plan, ROUTE, List.of("Token own"), () -> true),
        instanceOf(KeyCheck.Verdict.Accepted.class));
    assertThat(plan.sharedKeyCount(plan.tenants().getFirst()), is(1));
  }

  @Property(seed = "2026")
  void onlyConfiguredKeysAreAccepted(@ForAll String key) {
    boolean isConfigured = Set.of("k-1", "k-2", "k-3").contains(key);
    boolean isAccepted = check("Token " + key) instanceof KeyCheck.Verdict.Accepted;
    assertThat(isAccepted, is(isConfigured));
  }

  private static Optional<NotRunReason> recheck(
      TrafficPlan plan, Route route, Optional<KeyDigest> key, Optional<Tenant> tenant) {
    return KeyCheck.reasonNotToSend(plan, route, key, tenant);
  }

  @Test
  void withdrawnKeyIsNotSent() {
    TrafficPlan later = plan(tenant("alpha", "k-2"), BETA);
    assertThat(
        recheck(later, ROUTE, K1, Optional.of(ALPHA)), is(Optional.of(NotRunReason.UNKNOWN_KEY)));
    assertThat(recheck(PLAN, ROUTE, K1, Optional.of(ALPHA)), is(Optional.empty()));
  }

  @Test
  void keyThatChangedItsTenantIsCheckedAnew() {
    TrafficPlan later = plan(tenant("alpha", "k-2"), tenant("beta", "k-1"));
    assertThat(
        recheck(later, ROUTE, K1, Optional.of(ALPHA)),
        is(Optional.of(NotRunReason.CONFIGURATION_OUTDATED)));
  }

  @Test
  void requestWithoutKeyIsCheckedAnewOnceThereAreTenants() {
    assertThat(
        recheck(PLAN, ROUTE, Optional.empty(), Optional.empty()),
        is(Optional.of(NotRunReason.CONFIGURATION_OUTDATED)));
    assertThat(
        recheck(PLAN, ANONYMOUS_ROUTE, Optional.empty(), Optional.empty()), is(Optional.empty()));
    assertThat(recheck(plan(), ROUTE, Optional.empty(), Optional.empty()), is(Optional.empty()));
    assertThat(recheck(plan(), ROUTE, K1, Optional.of(ALPHA)), is(Optional.empty()));
  }
}
