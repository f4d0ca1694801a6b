package org.cowslipstair.gateway;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import org.cowslipstair.adapters.http.BackendLimits;
import org.cowslipstair.adapters.http.CallerServer;
import org.cowslipstair.adapters.http.CallerServerSettings;
import org.cowslipstair.adapters.http.OkHttpBackendProbe;
import org.cowslipstair.adapters.http.OkHttpBackendTransport;
import org.cowslipstair.adapters.peer.PeerTraffic;
import org.cowslipstair.adapters.peer.PeerTransportSettings;
import org.cowslipstair.adapters.peer.TcpPeerTransport;
import org.cowslipstair.adapters.platform.HttpPlatformStore;
import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.logic.object.JsonObjectReader;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.StoreId;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.fleet.InstanceEntry;
import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.model.fleet.MemberState;
import org.cowslipstair.port.MonotonicClock;
import org.cowslipstair.runtime.DecisionLog;
import org.cowslipstair.runtime.GatewayPorts;
import org.cowslipstair.runtime.GatewayRuntime;
import org.cowslipstair.runtime.GatewayState;
import org.jboss.logging.Logger;

/** One gateway with its servers; a daemon runs one, a trial runs many. */
public final class GatewayProcess implements AutoCloseable {
  private static final Logger LOG = Logger.getLogger(GatewayProcess.class);
  private static final long NS_PER_MS = 1_000_000L;
  private static final long STATE_TIMEOUT_MS = 2_000;
  private static final int CONNECTION_SHARE_PERCENT = 90;
  private static final int MIN_CONNECTIONS = 3;

  private final GatewaySettings settings;
  private final MonotonicClock clock = MonotonicClock.system();
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final AtomicReference<GatewayRuntime> running = new AtomicReference<>();
  private final HttpPlatformStore store;
  private final OkHttpBackendTransport backends;
  private final TcpPeerTransport peers;
  private final GatewayRuntime runtime;
  private final CallerServer callers;
  private final AdminServer admin;

  private GatewayProcess(GatewaySettings settings, long incarnation) throws IOException {
    this.settings = settings;
    this.store = new HttpPlatformStore(settings.storeAddresses());
    this.backends =
        new OkHttpBackendTransport(BackendLimits.defaults(), this::connectionsTo, clock);
    this.peers = openPeers(incarnation);
    this.runtime = new GatewayRuntime(peers.self(), ports(), new JsonObjectReader());
    running.set(runtime);
    metrics.violations(runtime.invariantMonitor());
    this.callers =
        new CallerServer(
            new CallerServerSettings(settings.callerAddress(), settings.limits()),
            runtime.callHandler(),
            clock,
            () -> UUID.randomUUID().toString());
    this.admin = AdminServer.start(settings.adminAddress(), new View());
  }

  private TcpPeerTransport openPeers(long incarnation) throws IOException {
    byte[] key = settings.peerKey().getBytes(StandardCharsets.UTF_8);
    return TcpPeerTransport.open(
        PeerTransportSettings.of(settings.peerAddress(), key),
        address ->
            new Member(
                new GatewayId(settings.name(), incarnation),
                settings.zone(),
                address,
                MemberState.LIVE),
        clock);
  }

  private GatewayPorts ports() {
    return new GatewayPorts(
        store,
        peers,
        backends,
        new OkHttpBackendProbe(backends, clock),
        clock,
        InstantSource.system(),
        ThreadLocalRandom::current,
        () -> UUID.randomUUID().toString(),
        metrics::call);
  }

  /** Returns this gateway's share of the connections that a backend server accepts. */
  private int connectionsTo(BackendServer backend) {
    GatewayRuntime current = running.get();
    int gateways = current == null ? 1 : Math.max(1, current.gatewayCount());
    int share = backend.maxConnections() * CONNECTION_SHARE_PERCENT / 100 / gateways;
    return Math.max(MIN_CONNECTIONS, share);
  }

  /**
   * Starts a gateway.
   *
   * @param incarnation must be higher than in every earlier life of a gateway of this name
   * @param seeds gateways known before the platform's list was read
   */
  public static GatewayProcess start(
      GatewaySettings settings, long incarnation, List<InstanceEntry> seeds) throws IOException {
    GatewayProcess process = new GatewayProcess(settings, incarnation);
    process.runtime.start(seeds);
    process.callers.start();
    return process;
  }

  /** Returns the address for callers that is bound. */
  public HostPort callerAddress() {
    return new HostPort(settings.callerAddress().host(), callers.port());
  }

  /** Returns the entry of this gateway in the platform's list. */
  public InstanceEntry instance() {
    return new InstanceEntry(
        settings.name(),
        settings.zone(),
        peers.self().peerAddress(),
        new HostPort(settings.adminAddress().host(), admin.port()),
        false);
  }

  /** Returns the runtime. */
  public GatewayRuntime runtime() {
    return runtime;
  }

  /** Returns the traffic with all other gateways. */
  public PeerTraffic peerTraffic() {
    return peers.traffic();
  }

  /** Returns the whole state. */
  public GatewayState state() {
    try {
      return runtime.state(callers.inProgress()).get(STATE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IllegalStateException("control loop did not answer", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted while reading the state", e);
    }
  }

  /**
   * Stops gracefully: readiness goes off, broker roles are handed over, and every call in progress
   * ends before anything is closed.
   */
  public void stop() throws InterruptedException {
    runtime.prepareStop();
    callers.stopAccepting();
    TimeUnit.MILLISECONDS.sleep(settings.stopNoticeMs());
    boolean drained = callers.drain(clock.nowNs() + settings.stopTimeoutMs() * NS_PER_MS);
    if (!drained) {
      runtime
          .invariantMonitor()
          .checkAtMost(
              Invariant.NO_CALL_CUT_OFF_BY_STOP, settings.name().value(), callers.inProgress(), 0);
    }
    LOG.infof("gateway: calls in progress at the end of the stop: %d", callers.inProgress());
    close();
  }

  /** Stops at once; calls in progress are cut off. */
  @Override
  public void close() {
    runtime.refuseCalls();
    callers.close();
    admin.close();
    runtime.close();
    backends.close();
    store.close();
  }

  private final class View implements AdminView {
    @Override
    public Optional<String> notReadyBecause() {
      return runtime.notReadyBecause();
    }

    @Override
    public String metrics() {
      return metrics.scrape();
    }

    @Override
    public Object state() {
      return GatewayProcess.this.state();
    }

    @Override
    public Optional<Object> explain(String requestId) {
      List<DecisionLog.Step> steps = runtime.explain(requestId);
      return steps.isEmpty() ? Optional.empty() : Optional.of(steps);
    }

    @Override
    public void acceptStore(StoreId storeId) {
      runtime.acceptStore(storeId);
    }
  }
}
