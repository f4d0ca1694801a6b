package org.cowslipstair.soak.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.List;
import org.cowslipstair.soak.Bounds;
import org.cowslipstair.soak.net.HttpStandin;
import org.cowslipstair.soak.net.Names;

/** How the daemons are started and which words their outside systems use. */
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
  Names names();

  /** Returns the command of a daemon. */
  List<String> command(Path settings);

  /** Returns the text of a settings file. */
  String settings(GatewayPlace place, Bounds bounds);

  /** Returns the name of a kind in the store. */
  String kind(Kind kind);

  /** Returns what serves a store on its protocol; a fault may lose the answers to writes. */
  HttpStandin.Handler store(StoreModel model, StoreFaults faults);

  /**
   * Returns a configuration.
   *
   * @param routes routes in force
   */
  ObjectNode configuration(long version, List<SoakRoute> routes, double coldPerSecond);

  /** Returns what a backend server says of itself. */
  ObjectNode backend(Backend backend, long sequence, long bornMs);

  /** Returns the version in a state dump of a daemon. */
  long version(String dump);

  /**
   * Where a daemon runs.
   *
   * @param relayPorts ports at which the first daemons pass on the state
   */
  record GatewayPlace(
      String name,
      String zone,
      int callerPort,
      int readyPort,
      int relayPort,
      int storePort,
      List<Integer> relayPorts) {}

  /** A route: requests below {@code /word/} of the kind go to the service. */
  record SoakRoute(String word, String kind, String service, long timeoutMs) {}

  /** Faults of the store's answers. */
  final class StoreFaults {
    /** Whether writes are done and not answered. */
    public volatile boolean losesAnswers;

    /** Whether calls are refused. */
    public volatile boolean refuses;
  }
}
