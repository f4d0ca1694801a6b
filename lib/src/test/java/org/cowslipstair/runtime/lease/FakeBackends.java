package org.cowslipstair.runtime.lease;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.fleet.GatewayId;

/** Simulated backend servers; tracks the calls that actually run on them. */
final class FakeBackends {
  private static final int SUCCESSES_UNTIL_WARM = 20;
  private final Map<BackendName, Map<Long, Call>> runningCalls = new TreeMap<>();
  private final Map<BackendName, Integer> successes = new HashMap<>();
  private final int slots;
  private long starts;
  private long fallbackStarts;
  private long startsOverSlots;
  private int maxRunningCalls;

  /**
   * A running call; not counted against its granter once its holder and the granter are
   * disconnected.
   */
  private record Call(GatewayId holder, String granter, boolean isDisconnected) {}

  FakeBackends(int slots) {
    this.slots = slots;
  }

  /** Starts a call in a slot granted by a broker, or by "fallback" if there was none. */
  void start(BackendName backend, long callId, GatewayId holder, String granter) {
    Map<Long, Call> calls = runningCalls.computeIfAbsent(backend, _ -> new TreeMap<>());
    calls.put(callId, new Call(holder, granter, false));
    starts++;
    fallbackStarts += granter.equals("fallback") ? 1 : 0;
    startsOverSlots += calls.size() > slots ? 1 : 0;
    maxRunningCalls = Math.max(maxRunningCalls, calls.size());
    long callsOfGranter =
        calls.values().stream().filter(c -> !c.isDisconnected && c.granter.equals(granter)).count();
    if (callsOfGranter > slots && !granter.equals("fallback")) {
      throw new AssertionError(
          "%s runs %d calls granted by %s, %d slots"
              .formatted(backend, callsOfGranter, granter, slots));
    }
  }

  void finish(BackendName backend, long callId, boolean succeeded) {
    Map<Long, Call> calls = runningCalls.getOrDefault(backend, new TreeMap<>());
    if (calls.remove(callId) != null && succeeded) {
      successes.merge(backend, 1, Integer::sum);
    }
  }

  /** Marks the calls of a holder as disconnected from the granter of their leases. */
  void markDisconnected(GatewayId holder, GatewayId granter) {
    for (Map<Long, Call> calls : runningCalls.values()) {
      calls.replaceAll(
          (_, call) ->
              call.holder.equals(holder) && call.granter.equals(granter.toString())
                  ? new Call(holder, call.granter, true)
                  : call);
    }
  }

  void makeCold(BackendName backend) {
    successes.remove(backend);
  }

  boolean isWarm(BackendName backend) {
    return successes.getOrDefault(backend, 0) >= SUCCESSES_UNTIL_WARM;
  }

  /** Returns the number of running calls whose slot a broker granted. */
  long brokeredCalls(BackendName backend) {
    Collection<Call> calls = runningCalls.getOrDefault(backend, Map.of()).values();
    return calls.stream().filter(call -> !call.granter.equals("fallback")).count();
  }

  int runningCalls(BackendName backend) {
    return runningCalls.getOrDefault(backend, Map.of()).size();
  }

  long starts() {
    return starts;
  }

  long fallbackStarts() {
    return fallbackStarts;
  }

  long startsOverSlots() {
    return startsOverSlots;
  }

  int maxRunningCalls() {
    return maxRunningCalls;
  }
}
