package org.cowslipstair.logic.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.logic.invariant.Violation;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.traffic.BackendProcess;
import org.cowslipstair.model.traffic.RequestFingerprint;

/**
 * Gateways and backend servers on a virtual clock. Servers crash under deadly requests and by
 * themselves; gateways retry once, and callers return twice.
 */
final class SimulatedQuarantineFleet {
  static final long NS_PER_MS = 1_000_000L;
  private static final long CRASH_REPORT_MS = 2;
  private static final long SERVICE_TIME_MS = 160;
  private static final long SERVER_RESTART_MS = 3_000;
  private static final long RETURN_MS = 50;
  private static final int MAX_SENDS = 2;
  private static final int MAX_RETURNS = 2;
  private static final int FIRST_COMPARISON_MS = 500;

  final List<Violation> violations = new ArrayList<>();
  private final Map<RequestFingerprint, List<Long>> deadlySendsMs = new HashMap<>();
  private final Map<RequestFingerprint, List<Long>> deadlyCrashesMs = new HashMap<>();
  int innocentCount;
  int heldBackInnocents;
  private final Random random;
  private final List<String> gatewayNames = new ArrayList<>();
  private final List<Gateway> gateways = new ArrayList<>();
  private final List<Server> servers = new ArrayList<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final int zones;
  private long nowMs;
  private long eventCount;
  private boolean areZonesCut;
  private int processCount;

  private record Event(long atMs, long number, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atMs, other.atMs);
      return byTime == 0 ? Long.compare(number, other.number) : byTime;
    }
  }

  /** A request of a caller; its returns are new ones. */
  private record Request(RequestFingerprint fingerprint, boolean isDeadly, int returns) {}

  private record Running(Gateway gateway, Request request, int sends) {}

  private static final class Server {
    private BackendProcess process;
    private boolean isUp = true;
    private final List<Running> running = new ArrayList<>();

    Server(BackendProcess process) {
      this.process = process;
    }
  }

  private final class Gateway implements QuarantineSync.Network {
    private final String name;
    private final int zone;
    private QuarantineTable table;
    private QuarantineSync sync;

    Gateway(String name, int zone) {
      this.name = name;
      this.zone = zone;
      start(true);
    }

    void start(boolean isFirstStart) {
      table = new QuarantineTable(name, new InvariantMonitor(violations::add));
      sync = new QuarantineSync(name, table, () -> gatewayNames, random, isFirstStart, this);
    }

    private boolean canReach(Gateway other) {
      return !areZonesCut || zone + other.zone != 1;
    }

    @Override
    public void send(String target, QuarantineMessage message) {
      Gateway other = gateways.get(gatewayNames.indexOf(target));
      if (!canReach(other)) {
        return;
      }
      after(
          1 + random.nextInt(5),
          () ->
              other.sync.onMessage(message, nowNs()).ifPresent(response -> reply(other, response)));
    }

    private void reply(Gateway other, QuarantineMessage response) {
      after(1 + random.nextInt(5), () -> sync.onResponse(other.name, response, nowNs()));
    }

    @Override
    public boolean isUnreachable(String target) {
      return !canReach(gateways.get(gatewayNames.indexOf(target)));
    }
  }

  SimulatedQuarantineFleet(long seed, int zones, int gatewaysPerZone, int serverCount) {
    this.random = new Random(seed);
    this.zones = zones;
    for (int i = 0; i < zones * gatewaysPerZone; i++) {
      gatewayNames.add("g-" + i);
    }
    for (int i = 0; i < gatewayNames.size(); i++) {
      gateways.add(new Gateway(gatewayNames.get(i), i % zones));
    }
    for (int i = 0; i < serverCount; i++) {
      servers.add(new Server(newProcess(i)));
    }
    gateways.forEach(
        gateway ->
            after(random.nextInt(FIRST_COMPARISON_MS), () -> compare(gateway, gateway.sync)));
  }

  private BackendProcess newProcess(int server) {
    processCount++;
    return new BackendProcess(new BackendName("b-" + server), processCount);
  }

  private void compare(Gateway gateway, QuarantineSync sync) {
    if (gateway.sync == sync) {
      after(sync.compare(nowNs()), () -> compare(gateway, sync));
    }
  }

  long nowNs() {
    return nowMs * NS_PER_MS;
  }

  void after(long delayMs, Runnable action) {
    eventCount++;
    events.add(new Event(nowMs + delayMs, eventCount, action));
  }

  /** Repeats an action at random intervals. */
  void repeat(double perSecond, long fromMs, long untilMs, Runnable action) {
    long delayMs = Math.max(1, (long) (-Math.log(1 - random.nextDouble()) * 1_000 / perSecond));
    after(
        Math.max(0, fromMs - nowMs) + delayMs,
        () -> {
          if (nowMs < untilMs) {
            action.run();
            repeat(perSecond, nowMs, untilMs, action);
          }
        });
  }

  void run(long untilMs) {
    while (!events.isEmpty() && events.peek().atMs <= untilMs) {
      Event event = events.remove();
      nowMs = event.atMs;
      event.action.run();
    }
  }

  static RequestFingerprint fingerprint(String target) {
    return new RequestFingerprint.Head("", "GET", "a.example", target).with(List.of());
  }

  void callDeadly(String target) {
    arrive(new Request(fingerprint(target), true, 0), randomGateway());
  }

  /** Calls one of many pages; some pages are popular. */
  void callInnocent(int pages) {
    innocentCount++;
    int page = (int) (pages * random.nextDouble() * random.nextDouble());
    arrive(new Request(fingerprint("/page-" + page), false, 0), randomGateway());
  }

  private Gateway randomGateway() {
    return gateways.get(random.nextInt(gateways.size()));
  }

  /** Lets a random server crash by itself. */
  void crashServer() {
    Server server = servers.get(random.nextInt(servers.size()));
    if (server.isUp) {
      crash(server);
    }
  }

  /** Lets all servers of a rack crash at once. */
  void crashRack(int size) {
    servers.stream().filter(server -> server.isUp).limit(size).toList().forEach(this::crash);
  }

  /** Lets the first two zones lose each other for a time. */
  void cutZones(long forMs) {
    areZonesCut = zones > 2;
    after(forMs, () -> areZonesCut = false);
  }

  /** Restarts a gateway; it knows nothing. */
  void restart(int index) {
    Gateway gateway = gateways.get(index % gateways.size());
    gateway.start(false);
    compare(gateway, gateway.sync);
  }

  int gatewayCount() {
    return gateways.size();
  }

  private void arrive(Request request, Gateway gateway) {
    gateway.table.onArrival(request.fingerprint, nowNs());
    boolean isTrial =
        gateway.table.verdict(request.fingerprint, nowNs()) instanceof QuarantineVerdict.HeldBack
            && startTrial(gateway, request);
    send(gateway, request, 0, isTrial);
  }

  private boolean startTrial(Gateway gateway, Request request) {
    Optional<SuspectRequest> tried =
        gateway.table.tryStartTrial(request.fingerprint, gatewayNames, nowNs());
    tried.ifPresent(gateway.sync::publish);
    return tried.isPresent();
  }

  private void send(Gateway gateway, Request request, int sends, boolean isTrial) {
    boolean isHeldBack =
        gateway.table.verdict(request.fingerprint, nowNs()) instanceof QuarantineVerdict.HeldBack;
    if (isHeldBack && !isTrial) {
      heldBackInnocents += request.isDeadly ? 0 : 1;
      return;
    }
    List<Server> up = servers.stream().filter(server -> server.isUp).toList();
    if (up.isEmpty()) {
      comeAgain(request);
      return;
    }
    gateway.table.recordSend(request.fingerprint, nowNs());
    Server server = up.get(random.nextInt(up.size()));
    Running running = new Running(gateway, request, sends + 1);
    server.running.add(running);
    BackendProcess process = server.process;
    if (request.isDeadly) {
      record(deadlySendsMs, request);
      after(SERVICE_TIME_MS / 2, () -> crashDeadly(server, process, running));
    } else {
      after(SERVICE_TIME_MS, () -> complete(server, running));
    }
  }

  private void crashDeadly(Server server, BackendProcess process, Running running) {
    if (server.isUp && server.process.equals(process) && server.running.contains(running)) {
      record(deadlyCrashesMs, running.request);
      crash(server);
    }
  }

  private void record(Map<RequestFingerprint, List<Long>> timesMs, Request request) {
    timesMs.computeIfAbsent(request.fingerprint, _ -> new ArrayList<>()).add(nowMs);
  }

  List<Long> deadlySendsMs(String target) {
    return deadlySendsMs.getOrDefault(fingerprint(target), List.of());
  }

  List<Long> deadlyCrashesMs(String target) {
    return deadlyCrashesMs.getOrDefault(fingerprint(target), List.of());
  }

  private void complete(Server server, Running running) {
    if (server.running.remove(running)) {
      Gateway gateway = running.gateway;
      gateway
          .table
          .recordCleared(running.request.fingerprint, nowNs())
          .ifPresent(gateway.sync::publish);
    }
  }

  private void crash(Server server) {
    BackendProcess process = server.process;
    server.isUp = false;
    // In the order of their start, so that a seed always plays the same run.
    Set<Running> lost = new LinkedHashSet<>(server.running);
    server.running.clear();
    lost.forEach(running -> after(CRASH_REPORT_MS, () -> onLost(running, process)));
    after(
        SERVER_RESTART_MS,
        () -> {
          server.process = newProcess(servers.indexOf(server));
          server.isUp = true;
        });
  }

  private void onLost(Running running, BackendProcess process) {
    Gateway gateway = running.gateway;
    gateway.sync.publish(gateway.table.recordCrash(running.request.fingerprint, process, nowNs()));
    if (running.sends < MAX_SENDS) {
      send(gateway, running.request, running.sends, false);
    } else {
      comeAgain(running.request);
    }
  }

  private void comeAgain(Request request) {
    if (request.returns < MAX_RETURNS) {
      Request returned = new Request(request.fingerprint, request.isDeadly, request.returns + 1);
      after(RETURN_MS, () -> arrive(returned, randomGateway()));
    }
  }
}
