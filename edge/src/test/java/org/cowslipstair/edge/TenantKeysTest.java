package org.cowslipstair.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.cowslipstair.model.tenant.KeyDigest;
import org.cowslipstair.model.tenant.Tenant;
import org.cowslipstair.model.tenant.TenantName;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests of tenants: what callers get, and what backend servers see. */
@Timeout(60)
final class TenantKeysTest {
  private static final String KEY = "k3y-0f-alpha";
  private static final String AUTHORIZATION = "Authorization: Token " + KEY + "\r\n";
  private static final Tenant ALPHA = tenant("alpha", KEY, "k3y-t00");
  private static final Tenant BETA = tenant("beta", "k3y-0f-beta");

  /** Longer than a proof of a current state is fresh. */
  private static final long OUTDATED_MS = 1_500;

  /** So many requests earn more of the retry budget than hedges leave for retries. */
  private static final int ORDINARY_REQUESTS = 100;

  private final GatewayFixture fixture;
  private final RawClient client;

  TenantKeysTest() throws IOException, InterruptedException {
    fixture = new GatewayFixture(2);
    fixture.configureTenants(2, ALPHA, BETA);
    client = fixture.client();
  }

  @AfterEach
  void close() throws IOException {
    client.close();
    fixture.close();
    assertThat(fixture.violations, empty());
    for (ScriptedBackend backend : fixture.backends) {
      assertThat(
          backend.receivedLines.stream()
              .filter(line -> line.toLowerCase(Locale.ROOT).startsWith("authorization:"))
              .toList(),
          empty());
    }
  }

  static Tenant tenant(String name, String... keys) {
    return new Tenant(
        new TenantName(name),
        Arrays.stream(keys).map(KeyDigest::of).collect(Collectors.toSet()),
        Optional.empty(),
        OptionalInt.empty());
  }

  private static String with(String fields, String request) {
    return request.replaceFirst("\r\n", "\r\n" + fields);
  }

  private List<ScriptedBackend.ReceivedRequest> received() {
    return fixture.backends.stream().flatMap(b -> b.receivedRequests.stream()).toList();
  }

  private static List<String> tenants(ScriptedBackend.ReceivedRequest request) {
    return request.headers().stream()
        .filter(header -> header.toLowerCase(Locale.ROOT).startsWith("x-tenant:"))
        .map(header -> header.substring(header.indexOf(':') + 1).trim())
        .toList();
  }

  /** Lets the retry budget allow retries and hedges, and the route have a usual service time. */
  private void sendOrdinaryRequests(String path) throws IOException {
    for (int i = 0; i < ORDINARY_REQUESTS; i++) {
      client.send(with(AUTHORIZATION, RawClient.get(path, "ordinary-" + i)));
    }
    fixture.backends.forEach(backend -> backend.receivedRequests.clear());
  }

  private void awaitReceived(int count) throws InterruptedException {
    while (received().size() < count) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
  }

  @Test
  void backendServerGetsTheTenantInsteadOfTheKey() throws IOException {
    RawClient.Response response = client.send(with(AUTHORIZATION, RawClient.get("/safe/x", "one")));
    assertThat(response.status(), is(200));
    assertThat(tenants(received().getFirst()), is(List.of("alpha")));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "Authorization: Token other\r\n",
        "Authorization: Basic k3y-0f-alpha\r\n",
        "Authorization: Token\r\n",
        AUTHORIZATION + AUTHORIZATION,
        AUTHORIZATION + "authorization: Basic x\r\n",
        "X-Tenant: alpha\r\n",
        "Proxy-Authorization: Token k3y-0f-alpha\r\n"
      })
  void requestWithoutAKeyOfATenantIsNotRun(String fields) throws IOException {
    RawClient.Response response = client.send(with(fields, RawClient.get("/safe/x", "one")));
    assertThat(response.status(), is(401));
    assertThat(response.header("WWW-Authenticate"), is("Token"));
    assertThat(response.header("Cowslipstair-Outcome"), is("not-run"));
    assertThat(received(), empty());
    // The connection serves the next request.
    assertThat(client.send(with(AUTHORIZATION, RawClient.get("/safe/x", "two"))).status(), is(200));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "X-Tenant: beta\r\n",
        "x-tenant: beta\r\nX-TENANT: gamma\r\n",
        "Connection: X-Tenant\r\nX-Tenant: beta\r\n",
        "Connection: authorization, x-tenant\r\n",
        "X-Tenant:\r\n",
        "X-Tenant: beta, gamma\r\n"
      })
  void callerCannotNameItsTenant(String fields) throws IOException {
    assertThat(
        client.send(with(fields + AUTHORIZATION, RawClient.get("/safe/x", "one"))).status(),
        is(200));
    assertThat(tenants(received().getFirst()), is(List.of("alpha")));
  }

  @Test
  void trailersOfACallerAreNotPassedOn() throws IOException {
    String request =
        "POST /upload/x HTTP/1.1\r\nHost: a.example\r\nX-Id: one\r\n"
            + AUTHORIZATION
            + "Trailer: X-Tenant, Authorization\r\nTransfer-Encoding: chunked\r\n\r\n"
            + "3\r\nabc\r\n0\r\nX-Tenant: beta\r\n"
            + AUTHORIZATION
            + "\r\n";
    assertThat(client.send(request).status(), is(200));
    assertThat(tenants(received().getFirst()), is(List.of("alpha")));
    assertThat(received().getFirst().body(), is("abc"));
  }

  @Test
  void anonymousRouteNeedsNoKeyAndPassesNoneOn() throws IOException {
    assertThat(client.send(RawClient.get("/open/x", "one")).status(), is(200));
    String fields = "X-Tenant: beta\r\n" + AUTHORIZATION;
    assertThat(client.send(with(fields, RawClient.get("/open/x", "two"))).status(), is(200));
    assertThat(
        received().stream().map(TenantKeysTest::tenants).toList(),
        is(List.of(List.of(), List.of())));
  }

  @Test
  void retryNamesTheTenantAndNotTheKey() throws IOException {
    sendOrdinaryRequests("/safe/x");
    AtomicInteger sends = new AtomicInteger();
    fixture.backends.forEach(
        backend ->
            backend.script(
                (request, socket) -> {
                  if (sends.incrementAndGet() == 1) {
                    socket.close();
                  } else {
                    ScriptedBackend.Script.ok("second").run(request, socket);
                  }
                }));
    RawClient.Response response = client.send(with(AUTHORIZATION, RawClient.get("/safe/x", "one")));
    assertThat(response.body(), is("second"));
    assertThat(
        received().stream().map(TenantKeysTest::tenants).toList(),
        is(List.of(List.of("alpha"), List.of("alpha"))));
  }

  @Test
  void hedgeNamesTheTenantAndNotTheKey() throws IOException, InterruptedException {
    sendOrdinaryRequests("/hedged/x");
    CountDownLatch hedged = new CountDownLatch(2);
    fixture.backends.forEach(
        backend ->
            backend.script(
                (request, socket) -> {
                  hedged.countDown();
                  hedged.await();
                  ScriptedBackend.Script.ok("hello").run(request, socket);
                }));
    RawClient.Response response =
        client.send(with(AUTHORIZATION, RawClient.get("/hedged/x", "one")));
    assertThat(response.status(), is(200));
    awaitReceived(2);
    assertThat(
        received().stream().map(TenantKeysTest::tenants).toList(),
        is(List.of(List.of("alpha"), List.of("alpha"))));
  }

  @Test
  void uploadThatIsCutIsNotSentAndAWholeOneNamesTheTenant() throws IOException {
    try (RawClient cut = fixture.client()) {
      String upload = with(AUTHORIZATION, RawClient.post("/upload/x", "cut", "b".repeat(9_000)));
      cut.write(upload.substring(0, upload.length() - 10));
    }
    String upload = with(AUTHORIZATION, RawClient.post("/upload/x", "one", "b".repeat(9_000)));
    assertThat(client.send(upload).status(), is(200));
    assertThat(
        received().stream().map(TenantKeysTest::tenants).toList(), is(List.of(List.of("alpha"))));
  }

  @Test
  void withdrawnKeyStopsAndAddedKeyWorksOnAKeptConnection()
      throws IOException, InterruptedException {
    String added = "Authorization: Token added\r\n";
    assertThat(client.send(with(AUTHORIZATION, RawClient.get("/safe/x", "one"))).status(), is(200));
    assertThat(client.send(with(added, RawClient.get("/safe/x", "two"))).status(), is(401));
    fixture.configureTenants(3, tenant("alpha", "k3y-t00", "added"), BETA);
    assertThat(
        client.send(with(AUTHORIZATION, RawClient.get("/safe/x", "three"))).status(), is(401));
    assertThat(client.send(with(added, RawClient.get("/safe/x", "four"))).status(), is(200));
  }

  /** A retry is a send too: the key must be in force when it starts. */
  @Test
  void requestWhoseKeyWasWithdrawnMeanwhileIsNotSentAgain()
      throws IOException, InterruptedException {
    sendOrdinaryRequests("/safe/x");
    CountDownLatch withdrawn = new CountDownLatch(1);
    fixture.backends.forEach(
        backend ->
            backend.script(
                (request, socket) -> {
                  withdrawn.await();
                  socket.close();
                }));
    client.write(with(AUTHORIZATION, RawClient.get("/safe/x", "one")));
    awaitReceived(1);
    fixture.configureTenants(3, tenant("alpha", "k3y-t00"), BETA);
    withdrawn.countDown();
    assertThat(client.readResponse().status(), is(502));
    assertThat(received().size(), is(1));
  }

  /** The key may be in a configuration that this gateway does not know yet. */
  @Test
  void unknownKeyIsRefusedAsNotRunWhileTheStateMayBeOutdated()
      throws IOException, InterruptedException {
    fixture.silenceStore(true);
    TimeUnit.MILLISECONDS.sleep(OUTDATED_MS);
    RawClient.Response response =
        client.send(with("Authorization: Token other\r\n", RawClient.get("/safe/x", "one")));
    assertThat(response.status(), is(503));
    assertThat(response.header("Cowslipstair-Outcome"), is("not-run"));
    assertThat(response.header("Retry-After"), is(not("")));
    assertThat(client.send(with(AUTHORIZATION, RawClient.get("/safe/x", "two"))).status(), is(200));
    assertThat(client.send(RawClient.get("/open/x", "three")).status(), is(200));
  }

  @Test
  void keyOfTwoTenantsIsUnknown() throws IOException, InterruptedException {
    fixture.configureTenants(3, ALPHA, tenant("beta", KEY, "k3y-0f-beta"));
    assertThat(client.send(with(AUTHORIZATION, RawClient.get("/safe/x", "one"))).status(), is(401));
  }

  @Test
  void withoutTenantsNothingIsCheckedOrRemoved() throws IOException, InterruptedException {
    try (GatewayFixture plain = new GatewayFixture(1);
        RawClient caller = plain.client()) {
      String fields = "Authorization: Basic abc\r\nX-Tenant: beta\r\n";
      assertThat(caller.send(with(fields, RawClient.get("/safe/x", "one"))).status(), is(200));
      ScriptedBackend.ReceivedRequest request = plain.backend().receivedRequests.getFirst();
      assertThat(request.header("Authorization"), is("Basic abc"));
      assertThat(tenants(request), is(List.of("beta")));
    }
  }
}
