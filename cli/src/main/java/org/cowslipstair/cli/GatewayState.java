package org.cowslipstair.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.cowslipstair.model.fleet.InstanceEntry;
import org.cowslipstair.port.PlatformStore;
import org.cowslipstair.port.StoreException;

/** An entry of the instance list and the result of querying the state of its gateway. */
record GatewayState(InstanceEntry instance, AdminClient.Result result) {
  private static final long UNKNOWN_REVISION = -1;

  /** Queries all gateways on the platform's instance list concurrently. */
  static List<GatewayState> readAll(PlatformStore store, AdminClient admin)
      throws StoreException, InterruptedException {
    List<InstanceEntry> instances = store.instances();
    try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
      List<Future<GatewayState>> pendingStates = new ArrayList<>();
      for (InstanceEntry instance : instances) {
        pendingStates.add(threads.submit(() -> read(instance, admin)));
      }
      List<GatewayState> states = new ArrayList<>();
      for (Future<GatewayState> state : pendingStates) {
        states.add(state.get());
      }
      return states;
    } catch (ExecutionException e) {
      throw new IllegalStateException("reading a gateway's state does not throw", e);
    }
  }

  private static GatewayState read(InstanceEntry instance, AdminClient admin) {
    return new GatewayState(instance, admin.get(instance.adminAddress(), "state"));
  }

  String name() {
    return instance.name().value();
  }

  /** Returns the value at a JSON pointer; a missing node if the state is unavailable. */
  JsonNode at(String pointer) {
    return switch (result) {
      case AdminClient.Result.Success(JsonNode body) -> body.at(pointer);
      case AdminClient.Result.NotFound _, AdminClient.Result.Failure _ -> MissingNode.getInstance();
    };
  }

  /** Returns the revision in force, or -1 if it is unknown. */
  long revision() {
    return at("/config/revision").asLong(UNKNOWN_REVISION);
  }

  /** Returns the id of the store whose configuration is in force. */
  String storeId() {
    return at("/config/storeId").asText();
  }

  /**
   * Returns whether the gateway refuses the store or still waits for a store that an operator
   * accepted.
   */
  boolean refusesStore() {
    return at("/config/status/refusedStore").isObject()
        || at("/config/status/awaitedStore").isTextual();
  }

  /** Returns problems that operators should investigate; empty if there are none. */
  List<String> problems(String storeId) {
    List<String> problems = new ArrayList<>();
    if (!failure().isEmpty()) {
      problems.add(failure());
      return problems;
    }
    if (!storeId().equals(storeId)) {
      problems.add("follows store \"%s\"".formatted(storeId()));
    }
    JsonNode refused = at("/config/status/refusedStore");
    if (refused.isObject()) {
      problems.add(
          "refused store %s at revision %s: %s"
              .formatted(
                  refused.path("storeId").asText(),
                  refused.path("revision").asText(),
                  refused.path("reason").asText()));
    }
    if (at("/notReadyBecause").isTextual()) {
      problems.add("not ready: " + at("/notReadyBecause").asText());
    }
    int invalid = at("/config/status/invalidObjects").size();
    if (invalid > 0) {
      problems.add("%d invalid objects".formatted(invalid));
    }
    for (Map.Entry<String, JsonNode> violation : at("/violations").properties()) {
      if (violation.getValue().asLong() > 0) {
        problems.add("violated %s %s times".formatted(violation.getKey(), violation.getValue()));
      }
    }
    return problems;
  }

  /** Returns why the state is unavailable, or an empty string. */
  String failure() {
    return switch (result) {
      case AdminClient.Result.Success _ -> "";
      case AdminClient.Result.NotFound _ -> "no state";
      case AdminClient.Result.Failure(String reason) -> reason;
    };
  }
}
