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
import org.cowslipstair.logic.stop.PlannedStop;
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

/** One gateway with its servers; the daemon runs one, a trial runs several in one process. */
public final class GatewayProcess implements AutoCloseable {
  private static final Logger LOG = Logger.getLogger(GatewayProcess.class);
  private static final long NS_PER_MS = 1_000_000L;

  /** Time before the end of a planned stop in which the last answers are written. */
  private static final long RESPONSE_MARGIN_MS = 150;

  private static final long STATE_TIMEOUT_MS = 2_000;
  private static final int CONNECTION_BUDGET_PERCENT = 90;
  private static final int MIN_CONNECTIONS_PER_BACKEND = 3;

  private final GatewaySettings settings;
  private final MonotonicClock clock = MonotonicClock.system();
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final AtomicReference<GatewayRuntime> currentRuntime = new AtomicReference<>();
  private final HttpPlatformStore store;
  private final OkHttpBackendTransport backendTransport;
  private final TcpPeerTransport peerTransport;
  private final GatewayRuntime runtime;
  private final CallerServer callerServer;
  private final AdminServer adminServer;

  private GatewayProcess(GatewaySettings settings, long incarnation) throws IOException {
    this.settings = settings;
    this.store = new HttpPlatformStore(settings.storeAddresses());
    this.backendTransport =
        new OkHttpBackendTransport(BackendLimits.defaults(), this::connectionLimit, clock);
    this.peerTransport = openPeerTransport(incarnation);
    this.runtime = new GatewayRuntime(peerTransport.self(), ports(), new JsonObjectReader());
    currentRuntime.set(runtime);
    metrics.addViolationGauges(runtime.invariantMonitor());
    this.callerServer =
        new CallerServer(
            new CallerServerSettings(settings.callerAddress(), settings.limits()),
            runtime.callHandler(),
            clock,
            () -> UUID.randomUUID().toString());
    this.adminServer = AdminServer.start(settings.adminAddress(), new Operations());
  }

  private TcpPeerTransport openPeerTransport(long incarnation) throws IOException {
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
        peerTransport,
        backendTransport,
        new OkHttpBackendProbe(backendTransport, clock),
        clock,
        InstantSource.system(),
        ThreadLocalRandom::current,
        () -> UUID.randomUUID().toString(),
        metrics::recordCall);
  }

  /** Returns this gateway's share of the connections that a backend server accepts. */
  private int connectionLimit(BackendServer backend) {
    GatewayRuntime current = currentRuntime.get();
    int gateways = current == null ? 1 : Math.max(1, current.gatewayCount());
    int share = backend.maxConnections() * CONNECTION_BUDGET_PERCENT / 100 / gateways;
    return Math.max(MIN_CONNECTIONS_PER_BACKEND, share);
  }

  /**
   * Starts a gateway.
   *
   * @param incarnation must be higher than that of every earlier start of a gateway with this name
   * @param seeds gateways to contact before the platform's instance list has been read
   */
  public static GatewayProcess start(
      GatewaySettings settings, long incarnation, List<InstanceEntry> seeds) throws IOException {
    GatewayProcess process = new GatewayProcess(settings, incarnation);
    process.runtime.start(seeds);
    process.callerServer.start();
    return process;
  }

  /** Returns the bound address for callers. */
  public HostPort callerAddress() {
    return new HostPort(settings.callerAddress().host(), callerServer.port());
  }

  /** Returns this gateway's entry in the platform's instance list. */
  public InstanceEntry instance() {
    return new InstanceEntry(
        settings.name(),
        settings.zone(),
        peerTransport.self().peerAddress(),
        new HostPort(settings.adminAddress().host(), adminServer.port()),
        false);
  }

  /** Returns the runtime. */
  public GatewayRuntime runtime() {
    return runtime;
  }

  /** Returns the traffic counters for all other gateways. */
  public PeerTraffic peerTraffic() {
    return peerTransport.traffic();
  }

  /**
   * Returns the complete state.
   *
   * @throws IllegalStateException if the control loop fails or does not respond within 2 s
   */
  public GatewayState state() {
    try {
      return runtime.state(callerServer.inProgress()).get(STATE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IllegalStateException("control loop did not respond", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted while reading the state", e);
    }
  }

  /**
   * Stops gracefully: reports not ready, transfers broker roles, and waits for calls in progress up
   * to the stop timeout before it closes anything.
   */
  public void stop() throws InterruptedException {
    long noticeEndNs = clock.nowNs() + settings.stopNoticeMs() * NS_PER_MS;
    long endNs = noticeEndNs + settings.stopTimeoutMs() * NS_PER_MS;
    runtime.prepareStop(new PlannedStop(noticeEndNs, endNs - RESPONSE_MARGIN_MS * NS_PER_MS));
    callerServer.stopAccepting();
    TimeUnit.MILLISECONDS.sleep(settings.stopNoticeMs());
    boolean drained = callerServer.drain(endNs);
    if (!drained) {
      runtime
          .invariantMonitor()
          .checkAtMost(
              Invariant.NO_CALL_CUT_OFF_BY_STOP,
              settings.name().value(),
              callerServer.inProgress(),
              0);
    }
    LOG.infof("gateway: calls in progress at the end of the stop: %d", callerServer.inProgress());
    close();
  }

  /** Stops immediately; aborts calls in progress. */
  @Override
  public void close() {
    runtime.refuseCalls();
    callerServer.close();
    adminServer.close();
    runtime.close();
    backendTransport.close();
    store.close();
  }

  private final class Operations implements AdminOperations {
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
