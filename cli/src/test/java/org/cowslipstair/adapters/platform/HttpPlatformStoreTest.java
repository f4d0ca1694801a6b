package org.cowslipstair.adapters.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.stream.IntStream;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.ObjectKind;
import org.cowslipstair.model.config.StoredObject;
import org.cowslipstair.port.PlatformStore.ObjectBatch;
import org.cowslipstair.port.StoreException;
import org.cowslipstair.standins.store.StoreCalls;
import org.cowslipstair.standins.store.StoreFaults;
import org.cowslipstair.standins.store.StoreInstance;
import org.cowslipstair.standins.store.StoreServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class HttpPlatformStoreTest {
  private static final ObjectKey ZONE = new ObjectKey(ObjectKind.ZONE, "tz-north-a");
  private static final Set<ObjectKind> ZONES = Set.of(ObjectKind.ZONE);
  private static final String BODY = "{\"labels\":{}}";
  private static final long SHORT_TIMEOUT_MS = 200;
  private static final long LONG_TIMEOUT_MS = 30_000;

  private final StoreServer server = StoreServer.start(0);
  private final HttpPlatformStore store = client(LONG_TIMEOUT_MS, server.port());

  private static HttpPlatformStore client(long timeoutMs, int... ports) {
    List<HostPort> addresses =
        IntStream.of(ports).mapToObj(port -> new HostPort("127.0.0.1", port)).toList();
    return new HttpPlatformStore(addresses, timeoutMs);
  }

  @AfterEach
  void stop() {
    store.close();
    server.close();
  }

  @Test
  void writesSucceedOnlyOnTheExpectedVersion() throws StoreException {
    StoredObject created = store.put(ZONE, BODY, 0, "c1");

    StoreException.VersionConflict conflict =
        assertThrows(StoreException.VersionConflict.class, () -> store.put(ZONE, BODY, 0, "c2"));

    assertThat(conflict.current(), is(Optional.of(created)));
    assertThat(store.get(ZONE), is(Optional.of(created)));
    store.delete(ZONE, created.version(), "c3");
    assertThat(store.get(ZONE), is(Optional.empty()));
    assertThrows(StoreException.VersionConflict.class, () -> store.delete(ZONE, 1, "c4"));
  }

  @Test
  void watchReturnsLaterWritesAndDeletions() throws Exception {
    long before = store.list(ZONES).revision();
    CompletableFuture<ObjectBatch> watch =
        CompletableFuture.supplyAsync(
            () -> {
              try {
                return store.watch(ZONES, before, LONG_TIMEOUT_MS);
              } catch (StoreException e) {
                throw new IllegalStateException(e);
              }
            },
            Executors.newVirtualThreadPerTaskExecutor());
    while (server.calls().waitingWatches() == 0) {
      Thread.onSpinWait();
    }
    server.write("service", "watch", BODY);
    StoredObject created = store.put(ZONE, BODY, 0, "c1");

    assertThat(watch.get().objects(), contains(created));
    store.delete(ZONE, created.version(), "c2");
    List<StoredObject> deleted = store.watch(ZONES, created.version(), 0).objects();
    assertThat(deleted.getFirst().deleted(), is(true));
    assertThat(store.watch(ZONES, server.revision(), 1).objects(), is(empty()));
    assertThrows(StoreException.RevisionGone.class, () -> store.watch(ZONES, 99, 1));
  }

  @Test
  void lostResponseToAWriteIsReportedAsAnswerLost() throws StoreException {
    server.setFaults(StoreFaults.none().withLoseWriteAnswers(true));

    assertThrows(StoreException.AnswerLost.class, () -> store.put(ZONE, BODY, 0, "mine"));

    assertThat(store.get(ZONE).orElseThrow().changeId(), is("mine"));
  }

  @Test
  void refusedWriteIsReportedAsUnavailableAndWritesNothing() {
    server.setFaults(StoreFaults.none().withDown(true));

    assertThrows(StoreException.Unavailable.class, () -> store.put(ZONE, BODY, 0, "c"));

    assertThat(server.revision(), is(0L));
  }

  @Test
  void timeoutOfAWriteIsReportedAsAnswerLost() {
    server.setFaults(StoreFaults.none().withDelayMs(LONG_TIMEOUT_MS));
    try (HttpPlatformStore shortTimeoutClient = client(SHORT_TIMEOUT_MS, server.port())) {
      assertThrows(
          StoreException.AnswerLost.class, () -> shortTimeoutClient.put(ZONE, BODY, 0, "c"));
    }
  }

  @Test
  void writeFailsOverOnlyIfTheFirstAddressCannotHaveExecutedIt() throws Exception {
    int closedPort = closedPort();
    try (HttpPlatformStore both = client(LONG_TIMEOUT_MS, closedPort, server.port())) {
      assertThat(both.put(ZONE, BODY, 0, "c").version(), is(1L));
    }
    try (HttpPlatformStore closed = client(LONG_TIMEOUT_MS, closedPort)) {
      assertThrows(StoreException.Unavailable.class, () -> closed.put(ZONE, BODY, 0, "c"));
    }
    server.setFaults(StoreFaults.none().withLoseWriteAnswers(true));
    try (HttpPlatformStore twice = client(LONG_TIMEOUT_MS, server.port(), server.port())) {
      long putsBefore = server.calls().count(StoreCalls.Kind.PUT);
      assertThrows(StoreException.AnswerLost.class, () -> twice.put(ZONE, BODY, 1, "c"));
      assertThat(server.calls().count(StoreCalls.Kind.PUT), is(putsBefore + 1));
    }
  }

  private static int closedPort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  @Test
  void restoredStoreHasAnOlderRevisionAndMayHaveANewId() throws StoreException {
    StoreServer.Backup backup = server.backup();
    store.put(ZONE, BODY, 0, "lost");
    server.restore(backup, true);

    ObjectBatch batch = store.list(ZONES);

    assertThat(batch.objects(), is(empty()));
    assertThat(batch.revision(), is(backup.revision()));
    assertThat(batch.storeId().value(), is(not(backup.storeId())));
  }

  @Test
  void storeThatComesBackFromACopyBeginsALaterEpoch() throws StoreException {
    StoredObject first = store.put(ZONE, BODY, 0, "first");
    StoreServer.Backup backup = server.backup();
    StoredObject lost = store.put(ZONE, BODY, first.version(), "lost");
    server.restore(backup, false);

    ObjectBatch batch = store.list(ZONES);
    assertThat(batch.objects(), contains(first));
    assertThat(batch.revision(), is(greaterThan(lost.version())));
    assertThat(batch.lost(), hasSize(1));
    assertThat(batch.lost().getFirst().contains(lost.version()), is(true));
    assertThat(batch.lost().getFirst().contains(first.version()), is(false));
    assertThrows(
        StoreException.RevisionGone.class,
        () -> store.watch(ZONES, lost.version(), LONG_TIMEOUT_MS));

    StoredObject again = store.put(ZONE, BODY, first.version(), "again");
    assertThat(again.version(), is(greaterThan(batch.revision())));
    assertThrows(
        StoreException.VersionConflict.class, () -> store.put(ZONE, BODY, lost.version(), "late"));

    store.delete(ZONE, again.version(), "deleted");
    assertThat(store.list(ZONES).objects().getFirst().deleted(), is(true));
  }

  @Test
  void instanceListMayBeStale() throws StoreException {
    server.putInstance(
        new StoreInstance("gw-1", "tz-north-a", "127.0.0.1:1", "127.0.0.1:2", false));
    assertThat(store.instances().getFirst().adminAddress(), is(new HostPort("127.0.0.1", 2)));

    server.setFaults(StoreFaults.none().withInstanceLagMs(3_600_000));
    server.putInstance(new StoreInstance("gw-1", "tz-north-a", "127.0.0.1:1", "127.0.0.1:2", true));

    assertThat(store.instances().getFirst().leaving(), is(false));
  }

  @Test
  void stuckWatchReturnsNoChanges() throws StoreException {
    server.setFaults(StoreFaults.none().withWatchStuck(true));
    server.write("zone", "a", BODY);

    assertThat(store.watch(ZONES, 0, 1).objects(), is(empty()));
    server.setFaults(StoreFaults.none());
    assertThat(store.watch(ZONES, 0, 1).objects().size(), is(1));
  }
}
