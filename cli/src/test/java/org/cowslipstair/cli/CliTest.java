package org.cowslipstair.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.cowslipstair.standins.store.StoreCalls;
import org.cowslipstair.standins.store.StoreFaults;
import org.cowslipstair.standins.store.StoreServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

@Timeout(60)
class CliTest {
  private static final String EXAMPLE_DIRECTORY = Path.of("..", "examples", "kilele").toString();

  @TempDir private Path directory;
  private final StoreServer store = StoreServer.start(0);
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  @AfterEach
  void stop() {
    store.close();
  }

  private ExitCode run(String... arguments) throws InterruptedException {
    out.reset();
    err.reset();
    Cli cli =
        new Cli(
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8),
            Map.of("COWSLIPSTAIR_STORE", store.address()));
    return cli.run(arguments);
  }

  private String output() {
    return out.toString(StandardCharsets.UTF_8);
  }

  private String errors() {
    return err.toString(StandardCharsets.UTF_8);
  }

  private String labels(String kind, String name) {
    return store.read(kind, name).orElseThrow().body().path("labels").toString();
  }

  private Path file(String text) throws IOException {
    return Files.writeString(directory.resolve("objects.toml"), text);
  }

  @Test
  void applyWritesOnlyDifferencesAndDryRunWritesNothing() throws Exception {
    assertThat(run("apply", "-f", EXAMPLE_DIRECTORY, "--dry-run"), is(ExitCode.OK));
    assertThat(store.revision(), is(0L));

    assertThat(run("apply", "-f", EXAMPLE_DIRECTORY), is(ExitCode.OK));
    long written = store.revision();
    assertThat(written, is(50L));

    Path changed =
        file(
            "[[backend_server]]\nname=\"watch-1\"\nlabels={app=\"watch\"}\n"
                + "zone=\"tz-north-a\"\naddress=\"127.0.0.1:20101\"\nslots=2\n");
    assertThat(run("apply", "-f", changed.toString()), is(ExitCode.OK));
    assertThat(output(), containsString("slots: 3 -> 2"));
    assertThat(run("apply", "-f", changed.toString()), is(ExitCode.OK));
    assertThat(store.revision(), is(written + 1));
  }

  @Test
  void applyOfAnInvalidDirectoryWritesNothing() throws Exception {
    Path file =
        file("[[zone]]\nname=\"a\"\n[[routing_rule]]\nname=\"r\"\nservice=\"none\"\nport=1\n");
    assertThat(run("apply", "-f", file.toString()), is(ExitCode.INVALID_INPUT));
    assertThat(errors(), containsString("objects.toml:6: routing_rule[0].port is not a known"));

    Path dangling = file("[[zone]]\nname=\"a\"\n[[routing_rule]]\nname=\"r\"\nservice=\"none\"\n");
    assertThat(run("apply", "-f", dangling.toString()), is(ExitCode.INVALID_INPUT));
    assertThat(errors(), containsString("service \"none\" refers to an object that does not"));
    assertThat(store.calls().count(StoreCalls.Kind.PUT), is(0L));
  }

  @Test
  void applyPreservesTheStateLabelOfAZone() throws Exception {
    run("apply", "-f", EXAMPLE_DIRECTORY);
    assertThat(run("zone", "out", "tz-north-a"), is(ExitCode.OK));

    assertThat(run("apply", "-f", EXAMPLE_DIRECTORY), is(ExitCode.OK));

    assertThat(labels("zone", "tz-north-a"), containsString("\"state\":\"out\""));
    assertThat(run("zone", "in", "tz-north-a"), is(ExitCode.OK));
    assertThat(labels("zone", "tz-north-a"), not(containsString("state")));
  }

  @Test
  void lostResponseIsResolvedByTheChangeId() throws Exception {
    store.write("zone", "a", "{\"labels\":{}}");
    store.setFaults(StoreFaults.none().withLoseWriteAnswers(true));

    assertThat(run("zone", "out", "a"), is(ExitCode.OK));

    assertThat(labels("zone", "a"), is("{\"state\":\"out\"}"));
    assertThat(store.calls().count(StoreCalls.Kind.PUT), is(1L));
    assertThat(run("delete", "zone", "a"), is(ExitCode.OK));
    assertThat(store.read("zone", "a").isPresent(), is(false));
  }

  @Test
  void waitPrintsTheLaggingGateways() throws Exception {
    store.write("zone", "a", "{\"labels\":{}}");
    AtomicLong slowStateRequests = new AtomicLong();
    try (FakeGateway fast = new FakeGateway("gw-fast", store, store::revision);
        FakeGateway slow =
            new FakeGateway(
                "gw-slow",
                store,
                () -> slowStateRequests.incrementAndGet() < 3 ? 1 : store.revision());
        FakeGateway stuck = new FakeGateway("gw-stuck", store, () -> 1)) {
      store.putInstance(stuck.instance(true));
      assertThat(run("zone", "out", "a"), is(ExitCode.OK));
      assertThat(errors(), containsString("waiting for gw-slow (revision 1)"));
      assertThat(errors(), containsString("revision 2 in force on 2 gateways"));

      store.putInstance(stuck.instance(false));
      assertThat(run("zone", "in", "a", "--wait-seconds", "0"), is(ExitCode.NOT_IN_FORCE));
      assertThat(errors(), containsString("not yet in force on: gw-stuck (revision 1)"));
      assertThat(run("zone", "out", "a", "--wait", "false"), is(ExitCode.OK));
      assertThat(run("status", "-o", "json"), is(ExitCode.OK));
      assertThat(output(), containsString("\"lag\" : \"3\""));
      slow.close();
      assertThat(run("status"), is(ExitCode.OK));
      assertThat(output(), containsString("no response"));
    }
  }

  @Test
  void explainAndStoreAcceptQueryEveryGateway() throws Exception {
    try (FakeGateway gateway = new FakeGateway("gw-1", store, store::revision)) {
      assertThat(run("explain", "r1"), is(ExitCode.OK));
      assertThat(output(), containsString("watch-1"));
      assertThat(run("explain", "r2"), is(ExitCode.NOT_FOUND));
      assertThat(run("dump", "gw-2"), is(ExitCode.NOT_FOUND));
      gateway.refuseStore();
      store.write("zone", "a", "{\"labels\":{}}");
      assertThat(run("zone", "out", "a", "--wait-seconds", "0"), is(ExitCode.NOT_IN_FORCE));
      assertThat(errors(), containsString("gw-1 (refuses the store)"));
      assertThat(run("status"), is(ExitCode.OK));
      assertThat(output(), containsString("refused store s at revision 1: OLDER_REVISION"));
      assertThat(run("store", "accept", "other"), is(ExitCode.NOT_FOUND));
      assertThat(run("store", "accept", store.storeId()), is(ExitCode.OK));
      assertThat(gateway.postedPaths(), contains("/store/accept/" + store.storeId()));
    }
  }

  @Test
  void failuresHaveDistinctExitCodes() throws Exception {
    run("apply", "-f", EXAMPLE_DIRECTORY);
    assertThat(run("get", "zone", "nowhere"), is(ExitCode.NOT_FOUND));
    assertThat(run("get", "planet"), is(ExitCode.USAGE));
    assertThat(run("fly"), is(ExitCode.USAGE));
    assertThat(run("delete", "service", "watch"), is(ExitCode.INVALID_INPUT));
    assertThat(errors(), containsString("routing-rule/watch"));
    store.setFaults(StoreFaults.none().withDown(true));
    assertThat(run("get"), is(ExitCode.STORE_UNAVAILABLE));
  }

  @Test
  void showsObjectsAndHelp() throws Exception {
    run("apply", "-f", EXAMPLE_DIRECTORY);
    assertThat(run("get", "service"), is(ExitCode.OK));
    assertThat(output(), containsString("broker; backends: app = watch; zones: region = tz-north"));
    assertThat(run("describe", "backend-server", "watch-1"), is(ExitCode.OK));
    assertThat(output(), containsString("  slots: 3"));
    assertThat(run("help"), is(ExitCode.OK));
    assertThat(output(), containsString("zone out NAME, zone in NAME"));
    assertThat(run("label", "--help"), is(ExitCode.OK));
    assertThat(output(), containsString("--wait-seconds"));
  }
}
