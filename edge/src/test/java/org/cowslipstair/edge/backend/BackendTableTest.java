package org.cowslipstair.edge.backend;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.edge.ProtocolHeaders;
import org.cowslipstair.edge.http.ServerConnector;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.traffic.BackendInstance;
import org.cowslipstair.model.traffic.CallerBounds;
import org.cowslipstair.model.traffic.ServiceConfig;
import org.cowslipstair.model.traffic.TrafficPlan;
import org.cowslipstair.model.traffic.TrafficState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class BackendTableTest {
  private static final ServiceName SERVICE = new ServiceName("s");
  private static final BackendName NAME = new BackendName("b");
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private static final NoticeReader READER =
      new NoticeReader(new ProtocolHeaders("a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k"));
  private final BackendTable table =
      new BackendTable(
          new ServerConnector(group.next(), "X-Id", 100), READER, new Random(1), () -> 0);

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private BackendEntry update(
      long startedUnixMs, Set<ZoneName> zonesOut, Set<BackendName> unconfirmed) {
    TrafficPlan plan =
        new TrafficPlan(
            1,
            CallerBounds.defaults(),
            List.of(new ServiceConfig(SERVICE, "/healthz", 10, 1)),
            List.of());
    BackendInstance instance =
        new BackendInstance(
            NAME,
            SERVICE,
            new HostPort("127.0.0.1", 9),
            new ZoneName("z"),
            3,
            false,
            0,
            startedUnixMs,
            1);
    table.update(TrafficState.of(plan, List.of(instance), zonesOut, unconfirmed));
    return table.entries().iterator().next();
  }

  @Test
  void backendWithAnExpiredEntryIsUsedOnlyWhileItReportsHealthy() {
    BackendEntry entry = update(1, Set.of(), Set.of(NAME));
    assertThat(table.acceptsRequests(entry), is(true));
    entry.stats().recordProbe(false, 0, 0);
    assertThat(table.acceptsRequests(entry), is(false));
    update(1, Set.of(), Set.of());
    assertThat(table.acceptsRequests(entry), is(true));
  }

  @Test
  void backendInAZoneOutAcceptsNoRequests() {
    BackendEntry entry = update(1, Set.of(new ZoneName("z")), Set.of());
    assertThat(table.acceptsRequests(entry), is(false));
  }

  @Test
  void newProcessWithTheSameNameStartsWithNewStatistics() {
    BackendEntry first = update(1, Set.of(), Set.of());
    BackendEntry second = update(2, Set.of(), Set.of());
    assertThat(first == second, is(false));
    assertThat(table.acceptsRequests(first), is(false));
    assertThat(table.acceptsRequests(second), is(true));
  }
}
