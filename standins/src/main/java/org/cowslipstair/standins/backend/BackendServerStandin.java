package org.cowslipstair.standins.backend;

import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.component.LifeCycle;

/** Stand-in for one backend server with its own port. Hundreds can run in one process. */
public final class BackendServerStandin implements AutoCloseable {
  private static final String HOST = "127.0.0.1";
  private static final long IDLE_TIMEOUT_MS = 300_000;
  private static final int ACCEPT_QUEUE_CONNECTIONS = 512;

  private final String name;
  private final AtomicReference<BackendBehaviour> behaviour;
  private final Counters counters = new Counters();
  private final ServiceModel model;
  private final Server server;
  private final ServerConnector connector;

  private BackendServerStandin(Config config) {
    this.name = config.name();
    this.behaviour = new AtomicReference<>(config.behaviour());
    this.model = new ServiceModel(behaviour, counters, config.seed());
    SharedJettyResources jetty = SharedJettyResources.shared();
    this.server = new Server(jetty.threads(), jetty.scheduler(), jetty.buffers());
    HttpConfiguration http = new HttpConfiguration();
    http.setSendServerVersion(false);
    http.setSendDateHeader(false);
    this.connector = new ServerConnector(server, 0, 1, new HttpConnectionFactory(http));
    connector.setHost(HOST);
    connector.setPort(config.port());
    connector.setIdleTimeout(IDLE_TIMEOUT_MS);
    connector.setAcceptQueueSize(ACCEPT_QUEUE_CONNECTIONS);
    connector.addBean(new ConnectionCounter(counters));
    server.addConnector(connector);
    server.setHandler(new BackendHandler(this, config.record()));
  }

  /**
   * Settings of a stand-in.
   *
   * @param port port to listen on; 0 for any free port
   * @param seed seed of the random service times and faults
   * @param record records the runs; can be shared by several stand-ins
   */
  public record Config(
      String name, int port, BackendBehaviour behaviour, long seed, RunRecord record) {}

  private record ConnectionCounter(Counters counters) implements Connection.Listener {
    @Override
    public void onOpened(Connection connection) {
      counters.connectionOpened();
    }

    @Override
    public void onClosed(Connection connection) {
      counters.connectionClosed();
    }
  }

  /** Starts a stand-in on the loopback address. */
  public static BackendServerStandin start(Config config) {
    BackendServerStandin standin = new BackendServerStandin(config);
    LifeCycle.start(standin.server);
    return standin;
  }

  /** Returns the name of the backend server. */
  public String name() {
    return name;
  }

  /** Returns the port. */
  public int port() {
    return connector.getLocalPort();
  }

  /** Returns the address as {@code host:port}. */
  public String address() {
    return HOST + ":" + port();
  }

  /** Returns the current behaviour. */
  public BackendBehaviour behaviour() {
    return behaviour.get();
  }

  /** Replaces the behaviour, also for running calls. */
  public void setBehaviour(BackendBehaviour newBehaviour) {
    behaviour.set(newBehaviour);
  }

  /** Starts a cold start immediately. */
  public void goCold() {
    model.setCold(true);
  }

  /** Ends the cold start. */
  public void becomeWarm() {
    model.setCold(false);
  }

  /** Sets the mark: calls that arrive after the grace period from now are counted. */
  public void mark(long graceMs) {
    model.mark(graceMs);
  }

  /** Clears the mark; later calls are no longer counted as after the mark. */
  public void clearMark() {
    model.clearMark();
  }

  /** Returns the true health, whatever the endpoints report. */
  public BackendHealth health() {
    return model.load().health();
  }

  /** Returns the counts so far. */
  public BackendCounts counts() {
    return counters.snapshot();
  }

  ServiceModel model() {
    return model;
  }

  Counters counters() {
    return counters;
  }

  /** Stops immediately; running calls lose their connections. */
  @Override
  public void close() {
    LifeCycle.stop(server);
  }
}
