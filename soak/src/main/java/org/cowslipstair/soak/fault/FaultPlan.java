package org.cowslipstair.soak.fault;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.cowslipstair.soak.fleet.Backend;
import org.cowslipstair.soak.fleet.Fleet;
import org.cowslipstair.soak.net.FaultyLink;

/** Schedule of random faults generated from a seed. Faults occur in series and may overlap. */
public final class FaultPlan {
  private static final long MEAN_GAP_MS = 900;
  private static final int MAX_SERIES_LENGTH = 3;
  private static final int INDEX_RANGE = 1_000;
  private static final double KILLED_SHARE = 0.6;

  /** Long enough for returns after the time in which the fleet must hold the request back. */
  private static final long DEADLY_MIN_MS = 5_000;

  private final Random random;

  private FaultPlan(long seed) {
    this.random = new Random(seed);
  }

  /** A fault and its start time, in milliseconds after the start of traffic. */
  public record Planned(long atMs, Fault fault) {}

  /** Generates a plan. The same seed always yields the same plan. */
  public static List<Planned> generate(long seed, long durationMs) {
    FaultPlan plan = new FaultPlan(seed);
    List<Planned> planned = new ArrayList<>();
    long atMs = MEAN_GAP_MS;
    while (atMs < durationMs) {
      int seriesLength =
          plan.random.nextInt(MAX_SERIES_LENGTH) == 0
              ? 1 + plan.random.nextInt(MAX_SERIES_LENGTH)
              : 1;
      int kind = plan.random.nextInt(Kind.values().length);
      for (int i = 0; i < seriesLength; i++) {
        planned.add(
            new Planned(
                atMs + i * MEAN_GAP_MS / MAX_SERIES_LENGTH, plan.createFault(Kind.values()[kind])));
      }
      atMs += (long) (-Math.log(1 - plan.random.nextDouble()) * MEAN_GAP_MS);
    }
    return List.copyOf(planned);
  }

  private enum Kind {
    KILL,
    KILL_MOST,
    PAUSE,
    STOP,
    RELOAD,
    STORE_LINK,
    PEER_LINK,
    STORE_AWAY,
    STORE_REFUSES,
    STORE_LOSES,
    STORE_FORGETS,
    STORE_RETURNS,
    BACKEND_FAULT,
    BACKEND_LINK,
    BACKEND_CRASH,
    BACKEND_LEAVES,
    BACKEND_COLD,
    DEADLY_REQUEST,
    CONFIGURATION,
    CHANGE_WHILE_SILENT,
    ODD_ENTRY,
    ZONE_OUT
  }

  private Fault createFault(Kind kind) {
    int index = random.nextInt(INDEX_RANGE);
    long forMs = 500 + random.nextInt(5_000);
    return switch (kind) {
      case KILL -> new Fault.Kill(index);
      case KILL_MOST -> new Fault.KillMost(KILLED_SHARE);
      case PAUSE -> new Fault.Pause(index, Math.min(forMs, 3_000));
      case STOP -> new Fault.Stop(index);
      case RELOAD -> new Fault.Reload(index, random.nextBoolean());
      case STORE_LINK -> new Fault.StoreLink(index, randomCondition(), forMs);
      case PEER_LINK -> new Fault.PeerLink(index, randomCondition(), forMs);
      case STORE_AWAY -> new Fault.StoreAway(randomCondition(), forMs);
      case STORE_REFUSES -> new Fault.StoreRefuses(forMs);
      case STORE_LOSES -> new Fault.StoreLosesAnswers(forMs);
      case STORE_FORGETS -> new Fault.StoreForgets();
      case STORE_RETURNS -> new Fault.StoreReturns(forMs, random.nextInt(2_500));
      case BACKEND_FAULT -> new Fault.BackendFault(index, randomBackendFault(), forMs);
      case BACKEND_LINK -> new Fault.BackendLink(index, randomCondition(), forMs);
      case BACKEND_CRASH -> new Fault.BackendCrash(index);
      case BACKEND_LEAVES -> new Fault.BackendLeaves(index);
      case BACKEND_COLD -> new Fault.BackendCold(index);
      case DEADLY_REQUEST -> new Fault.DeadlyRequest(index, forMs + DEADLY_MIN_MS);
      case CONFIGURATION -> new Fault.ChangeConfiguration();
      case ODD_ENTRY -> new Fault.OddEntry();
      case CHANGE_WHILE_SILENT -> new Fault.ChangeWhileSilent(index, forMs);
      case ZONE_OUT ->
          new Fault.ZoneOut(Fleet.ZONES.get(random.nextInt(Fleet.ZONES.size())), forMs + 5_000);
    };
  }

  private FaultyLink.Condition randomCondition() {
    FaultyLink.Condition[] all = FaultyLink.Condition.values();
    return all[1 + random.nextInt(all.length - 1)];
  }

  private Backend.Fault randomBackendFault() {
    Backend.Fault[] all = Backend.Fault.values();
    return all[1 + random.nextInt(all.length - 1)];
  }
}
