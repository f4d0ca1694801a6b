package org.cowslipstair.experiments.fleet;

import ch.qos.logback.classic.Level;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.cowslipstair.edge.FrontGateway;
import org.cowslipstair.edge.FrontSettings;
import org.cowslipstair.edge.GatewayComponents;
import org.cowslipstair.edge.ProtocolHeaders;
import org.cowslipstair.edge.caller.CallerServer;
import org.cowslipstair.edge.log.GatewayLog;
import org.cowslipstair.edge.log.GatewayMetrics;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.port.MonotonicClock;
import org.slf4j.LoggerFactory;

/** Gateways on event loops that forward to the backend servers of a deployment. */
public final class EventLoopFleet implements AutoCloseable {
  private static final String HOST = "127.0.0.1";
  private static final String STANDIN_HEADER = "Standin-Backend";
  private static final ProtocolHeaders HEADERS =
      new ProtocolHeaders(
          "X-Request-Id",
          "Request-Timeout-Ms",
          "Backend-Expected",
          STANDIN_HEADER,
          "Backend-Not-Run",
          STANDIN_HEADER,
          "Backend-Load",
          "Backend-Limit",
          "Backend-Leaving",
          "Backend-Cold-Ms",
          "Backend-Tenant");

  /** Budgets and bounds of the users' deployments. */
  private static final double RETRY_RATIO = 0.2;

  private static final double RETRY_SLACK = 64;
  private static final double COLD_FACTOR = 1.5;
  private static final double COLD_SLACK = 5;
  private static final long STOP_TIMEOUT_MS = 6_000;
  private static final long MAX_MEMORY_BYTES = 400L << 20;
  private static final long CHANGE_BATCH_DELAY_MS = 50;

  private static final long READY_POLL_MS = 20;
  private static final long AWAY_MS = 2_000;

  private final DeploymentFeed feed;
  private final FrontSettings.FleetLimits limits;
  private final SplittableRandom seeds;
  private final Map<String, Member> members = new ConcurrentHashMap<>();
  private final AtomicLong violations = new AtomicLong();

  private record Member(
      String name, ZoneName zone, FrontGateway gateway, MultiThreadIoEventLoopGroup group) {}

  private EventLoopFleet(Deployment deployment, double probesPerSecond, long seed) {
    this.feed = new DeploymentFeed(deployment);
    this.limits =
        new FrontSettings.FleetLimits(
            probesPerSecond, STOP_TIMEOUT_MS, MAX_MEMORY_BYTES, CHANGE_BATCH_DELAY_MS);
    this.seeds = new SplittableRandom(seed);
  }

  /**
   * Starts gateways, spread over the zones, and waits until they are ready.
   *
   * @param probesPerSecond probes that a backend server may get from all gateways together
   */
  public static EventLoopFleet start(
      Deployment deployment, int gatewayCount, double probesPerSecond, long seed)
      throws IOException, InterruptedException {
    silenceLinesPerRequest();
    EventLoopFleet fleet = new EventLoopFleet(deployment, probesPerSecond, seed);
    List<ZoneName> zones = deployment.zones();
    for (int i = 0; i < gatewayCount; i++) {
      fleet.startMember("loop-" + i, zones.get(i % zones.size()));
    }
    fleet.awaitReady();
    return fleet;
  }

  private static void silenceLinesPerRequest() {
    if (LoggerFactory.getLogger("exchange") instanceof ch.qos.logback.classic.Logger logger) {
      logger.setLevel(Level.OFF);
    }
  }

  private void startMember(String name, ZoneName zone) throws IOException, InterruptedException {
    HostPort any = new HostPort(HOST, 0);
    MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    ServerSocketChannel socket = CallerServer.bind(any);
    FrontSettings settings =
        new FrontSettings(
            name,
            zone,
            any,
            any,
            new FrontSettings.Relay(new HostPort(HOST, freePort()), List.of(), false),
            RETRY_RATIO,
            RETRY_SLACK,
            COLD_FACTOR,
            COLD_SLACK,
            limits,
            FrontSettings.FleetPolicies.none());
    MonotonicClock clock = MonotonicClock.system();
    GatewayComponents components =
        new GatewayComponents(
            group.next(),
            clock,
            seeds.split(),
            feed,
            HEADERS,
            new InvariantMonitor(_ -> violations.incrementAndGet()));
    FrontGateway gateway =
        FrontGateway.start(
            settings, components, new GatewayLog(name, new GatewayMetrics(), clock), socket);
    members.put(name, new Member(name, zone, gateway, group));
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  private void awaitReady() throws InterruptedException {
    while (!members.values().stream().allMatch(member -> member.gateway().isReady())) {
      TimeUnit.MILLISECONDS.sleep(READY_POLL_MS);
    }
  }

  /** Returns the addresses that the platform's balancer sends callers to. */
  public List<HostPort> readyAddresses() {
    List<HostPort> ready = new ArrayList<>();
    for (Member member : members.values()) {
      if (member.gateway().isReady()) {
        ready.add(new HostPort(HOST, member.gateway().callerPort()));
      }
    }
    return ready;
  }

  /** Marks a zone out or in. */
  public void setZoneOut(ZoneName zone, boolean isOut) {
    feed.setZoneOut(zone, isOut);
  }

  /** Ends a gateway, as planned or at once, and starts it again a moment later. */
  public void replaceOne(boolean isPlanned) throws IOException, InterruptedException {
    Member member = members.get("loop-0");
    if (isPlanned) {
      member.gateway().stop();
    }
    members.remove(member.name());
    member.group().shutdownGracefully(0, 0, TimeUnit.SECONDS);
    TimeUnit.MILLISECONDS.sleep(AWAY_MS);
    startMember(member.name(), member.zone());
    awaitReady();
  }

  /** Returns the number of violated invariants. */
  public long violations() {
    return violations.get();
  }

  @Override
  public void close() {
    members.values().forEach(member -> member.group().shutdownGracefully(0, 0, TimeUnit.SECONDS));
  }
}
