package org.cowslipstair.runtime.lease;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.fleet.GatewayId;

/** What really runs on the backend servers. */
final class FakeBackends {
  private static final int SUCCESSES_TO_WARM = 20;
  private final Map<BackendName, Map<Long, Call>> running = new TreeMap<>();
  private final Map<BackendName, Integer> warmth = new HashMap<>();
  private final int slots;
  private long starts;
  private long fallbackStarts;
  private long pastSlots;
  private int mostRunning;

  /** A running call; one whose holder was cut off from the granter counts for nobody. */
  private record Call(GatewayId holder, String granter, boolean cutOff) {}

  FakeBackends(int slots) {
    this.slots = slots;
  }

  /** Starts a call under a slot that the granter, a broker or "fallback", gave. */
  void start(BackendName backend, long call, GatewayId holder, String granter) {
    Map<Long, Call> calls = running.computeIfAbsent(backend, _ -> new TreeMap<>());
    calls.put(call, new Call(holder, granter, false));
    starts++;
    fallbackStarts += granter.equals("fallback") ? 1 : 0;
    pastSlots += calls.size() > slots ? 1 : 0;
    mostRunning = Math.max(mostRunning, calls.size());
    long own = calls.values().stream().filter(c -> !c.cutOff && c.granter.equals(granter)).count();
    if (own > slots && !granter.equals("fallback")) {
      throw new AssertionError(
          "%s runs %d calls granted by %s, %d slots".formatted(backend, own, granter, slots));
    }
  }

  void end(BackendName backend, long call, boolean answered) {
    Map<Long, Call> calls = running.getOrDefault(backend, new TreeMap<>());
    if (calls.remove(call) != null && answered) {
      warmth.merge(backend, 1, Integer::sum);
    }
  }

  /** Takes note that a holder and a granter no longer hear of each other. */
  void cutOff(GatewayId holder, GatewayId granter) {
    for (Map<Long, Call> calls : running.values()) {
      calls.replaceAll(
          (_, call) ->
              call.holder.equals(holder) && call.granter.equals(granter.toString())
                  ? new Call(holder, call.granter, true)
                  : call);
    }
  }

  void fallCold(BackendName backend) {
    warmth.remove(backend);
  }

  boolean isWarm(BackendName backend) {
    return warmth.getOrDefault(backend, 0) >= SUCCESSES_TO_WARM;
  }

  /** Returns how many calls run that a broker granted. */
  long brokered(BackendName backend) {
    Collection<Call> calls = running.getOrDefault(backend, Map.of()).values();
    return calls.stream().filter(call -> !call.granter.equals("fallback")).count();
  }

  int running(BackendName backend) {
    return running.getOrDefault(backend, Map.of()).size();
  }

  long starts() {
    return starts;
  }

  long fallbackStarts() {
    return fallbackStarts;
  }

  long pastSlots() {
    return pastSlots;
  }

  int mostRunning() {
    return mostRunning;
  }
}
