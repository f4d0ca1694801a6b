package org.cowslipstair.adapters.peer;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.logic.config.ConfigBatch;
import org.cowslipstair.logic.config.ConfigCore;
import org.cowslipstair.logic.config.ConfigSettings;
import org.cowslipstair.logic.config.InvalidObjectException;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.logic.membership.FleetView;
import org.cowslipstair.logic.membership.MembershipCore;
import org.cowslipstair.logic.membership.MembershipEvent;
import org.cowslipstair.logic.membership.MembershipSettings;
import org.cowslipstair.model.config.ConfigSnapshot;
import org.cowslipstair.model.config.ConfigVersion;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.config.StoreId;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.fleet.InstanceEntry;
import org.cowslipstair.model.peer.ConfigMessage;
import org.cowslipstair.model.peer.LeaseMessage;
import org.cowslipstair.model.peer.MembershipMessage.Heartbeat;
import org.cowslipstair.model.peer.MembershipMessage.PoolFree;
import org.cowslipstair.model.pool.PoolId;
import org.cowslipstair.port.MonotonicClock;
import org.cowslipstair.runtime.ControlLoop;
import org.cowslipstair.runtime.config.ConfigRuntime;
import org.cowslipstair.runtime.membership.FleetListener;
import org.cowslipstair.runtime.membership.MembershipRuntime;

/** Measures what membership at rest costs each of a number of gateways, joined over loopback. */
public final class MembershipTraffic {
  private static final long TICK_MS = Long.getLong("tickMs", 2);
  private static final long WARM_UP_MS = 5_000;
  private static final long MEASURE_MS = 10_000;
  private static final long JOIN_TIMEOUT_MS = 60_000;
  private static final int HEADER_BYTES = 66; // Ethernet, IPv4, and TCP with timestamps.
  private static final int LENGTH_BYTES = 4;

  private MembershipTraffic() {}

  /** One gateway. */
  private static final class Gateway implements FleetListener, ConfigRuntime.Listener {
    private final ControlLoop loop = new ControlLoop("control", MonotonicClock.system());
    private final TcpPeerTransport transport;
    private final ConfigRuntime config;
    private final MembershipRuntime membership;

    Gateway(int number) throws Exception {
      byte[] key = "a key for the measurement".getBytes(StandardCharsets.UTF_8);
      transport =
          TcpPeerTransport.open(
              PeerTransportSettings.of(new HostPort("127.0.0.1", 0), key),
              address -> TcpPeerTransportTest.member("gw-" + number, 1, address),
              MonotonicClock.system());
      InvariantMonitor monitor = InvariantMonitor.failing();
      ConfigCore configCore =
          new ConfigCore(
              ConfigSettings.defaults(),
              stored -> {
                throw new InvalidObjectException(stored.key(), "unused");
              },
              monitor);
      config = new ConfigRuntime(configCore, loop, MonotonicClock.system(), this);
      MembershipCore core =
          new MembershipCore(
              MembershipSettings.defaults(), transport.self(), monitor, System.nanoTime());
      membership =
          new MembershipRuntime(core, config, transport, loop, MonotonicClock.system(), this);
    }

    void start(List<InstanceEntry> fleet) throws Exception {
      StoreId store = new StoreId("5f0c9a52-store");
      config
          .onStoreBatch(new ConfigBatch(store, 0, 100_000, List.of()), ConfigVersion.none())
          .get();
      List<PoolFree> freeSlots =
          List.of(
              new PoolFree(new PoolId(new ServiceName("watch"), new ZoneName("zone-a")), 20),
              new PoolFree(new PoolId(new ServiceName("vault"), new ZoneName("zone-b")), 14));
      membership.start();
      membership.onInstances(fleet);
      loop.every(TICK_MS, nowNs -> membership.tick(nowNs, freeSlots));
    }

    void close() {
      membership.close();
      transport.close();
      loop.close();
    }

    @Override
    public void send(GatewayName to, ConfigMessage message) {
      transport.send(to, message);
    }

    @Override
    public void broadcast(ConfigMessage message) {
      membership.view().members().forEach(member -> send(member.id().name(), message));
    }

    @Override
    public void onConfig(ConfigSnapshot snapshot) {}

    @Override
    public void onStoreContact() {}

    @Override
    public void onView(FleetView view) {}

    @Override
    public void onEvent(MembershipEvent event) {}

    @Override
    public void onConnected(GatewayId peer) {}

    @Override
    public void onDisconnected(GatewayId peer) {}

    @Override
    public void onHeartbeat(GatewayId from, Heartbeat heartbeat) {}

    @Override
    public void onLeaseMessage(GatewayId from, LeaseMessage message) {}
  }

  /** What all gateways did up to one moment. */
  private record Totals(
      long bytesOut, long bytesIn, long framesOut, long framesIn, long cpuNs, long loopNs) {
    static Totals of(List<Gateway> fleet) {
      long bytesOut = 0;
      long bytesIn = 0;
      long framesOut = 0;
      long framesIn = 0;
      long loopNs = 0;
      for (Gateway gateway : fleet) {
        PeerTraffic traffic = gateway.transport.traffic();
        bytesOut += traffic.bytesOut();
        bytesIn += traffic.bytesIn();
        framesOut += traffic.framesOut();
        framesIn += traffic.framesIn();
        loopNs += gateway.loop.cpuTimeNs();
      }
      long cpuNs =
          ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
              .getProcessCpuTime();
      return new Totals(bytesOut, bytesIn, framesOut, framesIn, cpuNs, loopNs);
    }
  }

  /** Runs fleets of the sizes given as arguments; 6, 18, 32 and 64 without any. */
  public static void main(String[] args) throws Exception {
    List<Integer> sizes = new ArrayList<>();
    for (String arg : args) {
      sizes.add(Integer.parseInt(arg));
    }
    if (sizes.isEmpty()) {
      sizes.addAll(List.of(6, 18, 32, 64));
    }
    System.out.println(
        "gateways  payload out B/s  payload in B/s  frames out/s"
            + "  wire out+in B/s  process CPU %  control loop CPU %  (a gateway)");
    for (int size : sizes) {
      measure(size);
    }
  }

  private static void measure(int size) throws Exception {
    List<Gateway> fleet = new ArrayList<>();
    List<InstanceEntry> entries = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      Gateway gateway = new Gateway(i);
      fleet.add(gateway);
      entries.add(TcpPeerTransportTest.entryOf(gateway.transport));
    }
    for (Gateway gateway : fleet) {
      gateway.start(entries);
    }
    awaitJoined(fleet);
    Thread.sleep(WARM_UP_MS);
    long startNs = System.nanoTime();
    Totals before = Totals.of(fleet);
    Thread.sleep(MEASURE_MS);
    Totals after = Totals.of(fleet);
    print(size, before, after, System.nanoTime() - startNs);
    fleet.forEach(Gateway::close);
  }

  private static void awaitJoined(List<Gateway> fleet) throws InterruptedException {
    long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(JOIN_TIMEOUT_MS);
    for (Gateway gateway : fleet) {
      while (gateway.membership.view().members().size() < fleet.size()) {
        if (System.nanoTime() > deadlineNs) {
          throw new IllegalStateException("the fleet did not join in time");
        }
        Thread.sleep(10);
      }
    }
  }

  private static void print(int size, Totals before, Totals after, long elapsedNs) {
    double seconds = elapsedNs / 1e9 * size;
    double out = (after.bytesOut() - before.bytesOut()) / seconds;
    double in = (after.bytesIn() - before.bytesIn()) / seconds;
    double framesOut = (after.framesOut() - before.framesOut()) / seconds;
    double framesIn = (after.framesIn() - before.framesIn()) / seconds;
    // Each frame is one packet, answered by one packet without payload.
    double wire = out + in + (framesOut + framesIn) * (LENGTH_BYTES + 2.0 * HEADER_BYTES);
    double cpu = (after.cpuNs() - before.cpuNs()) / (double) elapsedNs / size * 100;
    double loop = (after.loopNs() - before.loopNs()) / (double) elapsedNs / size * 100;
    System.out.printf(
        "%8d  %15.0f  %14.0f  %12.1f  %15.0f  %13.2f  %18.2f%n",
        size, out, in, framesOut, wire, cpu, loop);
  }
}
