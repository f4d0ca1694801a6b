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

/** An entry of the instance list and what its gateway says of itself. */
record GatewayState(InstanceEntry instance, AdminClient.Answer answer) {
  private static final long UNKNOWN = -1;

  /** Asks all gateways on the platform's list at the same time. */
  static List<GatewayState> readAll(PlatformStore store, AdminClient admin)
      throws StoreException, InterruptedException {
    List<InstanceEntry> instances = store.instances();
    try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
      List<Future<GatewayState>> asked = new ArrayList<>();
      for (InstanceEntry instance : instances) {
        asked.add(threads.submit(() -> read(instance, admin)));
      }
      List<GatewayState> states = new ArrayList<>();
      for (Future<GatewayState> state : asked) {
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

  /** Returns a part of the state; a missing node if the gateway did not answer. */
  JsonNode at(String pointer) {
    return switch (answer) {
      case AdminClient.Answer.Found(JsonNode body) -> body.at(pointer);
      case AdminClient.Answer.Missing _, AdminClient.Answer.Failed _ -> MissingNode.getInstance();
    };
  }

  /** Returns the revision in force, or -1 if it is not known. */
  long revision() {
    return at("/config/revision").asLong(UNKNOWN);
  }

  /** Returns the identity of the store whose configuration is in force. */
  String storeId() {
    return at("/config/storeId").asText();
  }

  /** Returns whether the gateway refuses the store or still awaits one that was accepted. */
  boolean refusesStore() {
    return at("/config/status/refusedStore").isObject()
        || at("/config/status/awaitedStore").isTextual();
  }

  /** Returns what operators should look at. */
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

  /** Returns why the state is not known, or an empty text. */
  String failure() {
    return switch (answer) {
      case AdminClient.Answer.Found _ -> "";
      case AdminClient.Answer.Missing _ -> "no state";
      case AdminClient.Answer.Failed(String reason) -> reason;
    };
  }
}
