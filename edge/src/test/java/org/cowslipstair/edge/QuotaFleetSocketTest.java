package org.cowslipstair.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anyOf;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.model.tenant.KeyDigest;
import org.cowslipstair.model.tenant.Quota;
import org.cowslipstair.model.tenant.Tenant;
import org.cowslipstair.model.tenant.TenantName;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Quotas of tenants that a fleet of gateways keeps over sockets. */
@Timeout(60)
final class QuotaFleetSocketTest {
  private static final int GATEWAYS = 4;
  private static final Quota QUOTA = new Quota(10, 5);
  private static final long MAX_IN_WINDOW = (long) GatewayFixture.QUOTA_POLICY.maxRequests(QUOTA);
  private static final long WINDOW_NS = GatewayFixture.QUOTA_POLICY.windowMs() * 1_000_000L;
  private static final String KEY = "k3y-0f-alpha";
  private static final long NS_PER_SECOND = 1_000_000_000L;

  private final Queue<Long> ranNs = new ConcurrentLinkedQueue<>();
  private final Queue<Integer> refusals = new ConcurrentLinkedQueue<>();
  private GatewayFixture fixture;

  @BeforeEach
  void start() throws IOException, InterruptedException {
    fixture = GatewayFixture.fleet(GATEWAYS, 3);
    configure(2, Optional.of(QUOTA));
    TimeUnit.MILLISECONDS.sleep(600);
  }

  @AfterEach
  void close() throws IOException {
    fixture.close();
    assertThat(fixture.violations, is(empty()));
  }

  private void configure(long version, Optional<Quota> quota)
      throws IOException, InterruptedException {
    fixture.configureTenants(
        version,
        new Tenant(new TenantName("alpha"), Set.of(KeyDigest.of(KEY)), quota, OptionalInt.empty()));
  }

  private void callAll(int seconds, long intervalMs)
      throws InterruptedException, ExecutionException {
    List<Future<?>> callers = new ArrayList<>();
    try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
      for (int i = 0; i < GATEWAYS; i++) {
        int gateway = i;
        callers.add(
            executor.submit(
                () -> {
                  call(gateway, seconds, intervalMs);
                  return null;
                }));
      }
    }
    for (Future<?> caller : callers) {
      caller.get();
    }
  }

  private void call(int gateway, int seconds, long intervalMs)
      throws IOException, InterruptedException {
    long endNs = System.nanoTime() + seconds * NS_PER_SECOND;
    try (RawClient client = new RawClient(fixture.gateways.get(gateway).callerPort())) {
      for (int i = 0; System.nanoTime() < endNs; i++) {
        String request =
            RawClient.get("/safe/x", gateway + "-" + i)
                .replaceFirst("\r\n", "\r\nAuthorization: Token " + KEY + "\r\n");
        RawClient.Response response = client.send(request);
        if (response.status() == 200) {
          ranNs.add(System.nanoTime());
        } else {
          assertThat(response.status(), anyOf(is(429), is(503)));
          assertThat(Double.parseDouble(response.header("Retry-After")), greaterThan(0.0));
          refusals.add(response.status());
        }
        TimeUnit.MILLISECONDS.sleep(intervalMs);
      }
    }
  }

  private long maxInWindow() {
    return ranNs.stream()
        .mapToLong(
            startNs ->
                ranNs.stream().filter(ns -> ns >= startNs && ns <= startNs + WINDOW_NS).count())
        .max()
        .orElse(0);
  }

  @Test
  void tenantGetsItsQuotaFromAllGatewaysTogether()
      throws InterruptedException, ExecutionException, IOException {
    callAll(9, 30);
    assertThat(maxInWindow(), lessThanOrEqualTo(MAX_IN_WINDOW));
    assertThat((double) ranNs.size(), greaterThanOrEqualTo(0.95 * 9 * QUOTA.requestsPerSecond()));
    assertThat(refusals.stream().filter(status -> status == 503).count(), is(0L));
    long forwarded = 0;
    for (int i = 0; i < GATEWAYS; i++) {
      forwarded += fixture.state(i).path("quota").path("forwarded").asLong();
    }
    assertThat(forwarded, lessThan((ranNs.size() + refusals.size()) / 2L));
  }

  @Test
  void tenantWithinItsQuotaIsNotRefused() throws InterruptedException, ExecutionException {
    callAll(6, 640);
    assertThat(refusals, is(empty()));
  }

  @Test
  void frozenIssuerIsReplacedWithinTheBound()
      throws InterruptedException, ExecutionException, IOException {
    String issuer = fixture.state(0).path("quota").path("shareLentTo").asText();
    int frozen = List.of("g", "g-1", "g-2", "g-3").indexOf(issuer);
    callAll(2, 30);
    fixture.freeze(frozen, 3_000);
    callAll(8, 30);
    assertThat(maxInWindow(), lessThanOrEqualTo(MAX_IN_WINDOW));
    assertThat((double) ranNs.size(), greaterThanOrEqualTo(0.6 * 10 * QUOTA.requestsPerSecond()));
    assertThat(fixture.state(0).path("quota").path("shareLentTo").asText(), is(issuer));
  }

  @Test
  void tenantThatLosesItsQuotaIsNotLimited()
      throws InterruptedException, ExecutionException, IOException {
    configure(3, Optional.empty());
    callAll(2, 20);
    assertThat(refusals, is(empty()));
    assertThat(fixture.state(0).path("quota").path("forwarded").asLong(), is(0L));
  }
}
