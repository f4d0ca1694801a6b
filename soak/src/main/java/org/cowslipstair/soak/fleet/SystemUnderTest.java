package org.cowslipstair.soak.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.List;
import java.util.function.IntUnaryOperator;
import org.cowslipstair.soak.Limits;
import org.cowslipstair.soak.net.HeaderNames;
import org.cowslipstair.soak.net.LoopbackHttpServer;

/**
 * Adapts the soak to a platform: command line of the daemons and protocol of their external
 * systems.
 */
public interface SystemUnderTest {
  /** Kinds of objects in the store. */
  enum Kind {
    /** The configuration. */
    CONFIGURATION,
    /** The backend servers. */
    BACKENDS,
    /** The zones that are out. */
    ZONES_OUT
  }

  /** Returns the names of the headers. */
  HeaderNames headerNames();

  /** Returns the command line that starts a daemon. */
  List<String> command(Path settings);

  /** Returns the contents of a settings file. */
  String settings(GatewaySpec spec, Limits limits);

  /** Returns the name of a kind in the store. */
  String kind(Kind kind);

  /**
   * Returns a handler that serves the model in the store's protocol, subject to the given faults.
   *
   * @param peerPorts returns the port at which others reach the daemon that announces a relay port
   */
  LoopbackHttpServer.Handler store(
      StoreModel model, StoreFaults faults, IntUnaryOperator peerPorts);

  /**
   * Returns the specification of a configuration object.
   *
   * @param routes routes in force
   */
  ObjectNode configuration(long version, List<SoakRoute> routes, double coldPerSecond);

  /** Returns the report that a backend server writes to the store. */
  ObjectNode backend(Backend backend, long sequence, long bornMs);

  /** Returns the configuration version in a state dump of a daemon, 0 if unknown. */
  long version(String dump);

  /**
   * Name, zone and ports of a daemon.
   *
   * @param seedPorts ports at which the daemon reaches the seed gateways
   */
  record GatewaySpec(
      String name,
      String zone,
      int callerPort,
      int readyPort,
      int relayPort,
      int storePort,
      List<Integer> seedPorts) {}

  /** A route: requests of the kind with a path below {@code /pathSegment/} go to the service. */
  record SoakRoute(String pathSegment, String kind, String service, long timeoutMs) {}

  /** Switches for faults of the store. */
  final class StoreFaults {
    /** Whether writes are executed without a response. */
    public volatile boolean losesResponses;

    /** Whether all requests are refused. */
    public volatile boolean refuses;
  }
}
