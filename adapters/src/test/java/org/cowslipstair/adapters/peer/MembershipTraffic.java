package org.cowslipstair.adapters.peer;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.logic.config.ConfigBatch;
import org.cowslipstair.model.config.StoreId;
import org.cowslipstair.model.fleet.InstanceEntry;

/** Measures what membership at rest costs each of a number of gateways, joined over loopback. */
public final class MembershipTraffic {
  private static final long TICK_MS = Long.getLong("tickMs", 2);
  private static final long WARM_UP_MS = 5_000;
  private static final long MEASURE_MS = 10_000;
  private static final long JOIN_TIMEOUT_MS = 60_000;
  private static final int HEADER_BYTES = 66; // Ethernet, IPv4, and TCP with timestamps.
  private static final int LENGTH_BYTES = 4;

  private MembershipTraffic() {}

  /** What all gateways did up to one moment. */
  private record Totals(
      long bytesOut, long bytesIn, long framesOut, long framesIn, long cpuNs, long loopNs) {
    static Totals of(List<PeeringGateway> fleet) {
      long bytesOut = 0;
      long bytesIn = 0;
      long framesOut = 0;
      long framesIn = 0;
      long loopNs = 0;
      for (PeeringGateway gateway : fleet) {
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
            + "  wire out+in B/s  process CPU %  control loop CPU %  heap KB  (a gateway)");
    for (int size : sizes) {
      measure(size);
    }
  }

  private static void measure(int size) throws Exception {
    List<PeeringGateway> fleet = new ArrayList<>();
    List<InstanceEntry> entries = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      PeeringGateway gateway = new PeeringGateway("gw-" + i, 1);
      gateway.takeStore(new ConfigBatch(new StoreId("5f0c9a52-store"), 0, 100_000, List.of()));
      fleet.add(gateway);
      entries.add(TcpPeerTransportTest.entryOf(gateway.transport));
    }
    for (PeeringGateway gateway : fleet) {
      gateway.start(entries, TICK_MS);
    }
    awaitJoined(fleet);
    Thread.sleep(WARM_UP_MS);
    long startNs = System.nanoTime();
    Totals before = Totals.of(fleet);
    Thread.sleep(MEASURE_MS);
    Totals after = Totals.of(fleet);
    print(size, before, after, System.nanoTime() - startNs);
    fleet.forEach(PeeringGateway::close);
  }

  private static void awaitJoined(List<PeeringGateway> fleet) throws InterruptedException {
    long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(JOIN_TIMEOUT_MS);
    for (PeeringGateway gateway : fleet) {
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
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    long heapKb = (runtime.totalMemory() - runtime.freeMemory()) / 1024 / size;
    System.out.printf(
        "%8d  %15.0f  %14.0f  %12.1f  %15.0f  %13.2f  %18.2f  %7d%n",
        size, out, in, framesOut, wire, cpu, loop, heapKb);
  }
}
