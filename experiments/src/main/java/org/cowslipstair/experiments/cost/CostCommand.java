package org.cowslipstair.experiments.cost;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cowslipstair.experiments.TrialCommand;
import org.cowslipstair.experiments.TrialException;
import org.cowslipstair.experiments.fleet.TrialFleet;
import org.cowslipstair.experiments.report.TextTable;
import org.cowslipstair.gateway.GatewayProcess;
import org.cowslipstair.port.StoreException;
import org.cowslipstair.standins.backend.ServiceTime;

/** Measures the control of gateways without calls, at several sizes. */
@Parameters(commandDescription = "measure what control costs a gateway, by size")
public final class CostCommand extends TrialCommand {
  private static final double NS_PER_S = 1e9;
  private static final double BYTES_PER_MIB = 1 << 20;
  private static final long SETTLE_MS = 4_000;
  private static final long SERVICE_TIME_US = 20_000;

  @Parameter(names = "--gateways", description = "numbers of gateways")
  private List<Integer> gateways = List.of(6, 18, 32);

  @Parameter(names = "--zones", description = "number of zones")
  private int zones = 3;

  @Parameter(names = "--services", description = "number of services")
  private int services = 3;

  @Parameter(names = "--backends", description = "number of backend servers")
  private int backends = 36;

  @Parameter(names = "--seconds", description = "time of each measurement")
  private int seconds = 8;

  @Override
  public boolean run() throws TrialException, InterruptedException {
    TextTable table =
        new TextTable(
            "gateways",
            "services",
            "backends",
            "control cpu %/node",
            "tasks/s/node",
            "sent B/s/node",
            "received B/s/node",
            "store calls/s/node",
            "heap MiB/node");
    double baseMib = usedHeapMib();
    for (int count : gateways) {
      try {
        table.add(measure(count, baseMib));
      } catch (IOException | StoreException | TimeoutException e) {
        throw new TrialException("cost of %d gateways".formatted(count), e);
      }
    }
    System.out.print(table.render());
    return true;
  }

  private String[] measure(int count, double baseMib)
      throws IOException, StoreException, TimeoutException, InterruptedException {
    SyntheticDeployment sizes = new SyntheticDeployment(zones, services, backends, 3);
    try (TrialFleet fleet =
        TrialFleet.start(sizes.build(), count, ServiceTime.exponential(SERVICE_TIME_US), 1)) {
      TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
      Totals before = Totals.of(fleet);
      long startNs = System.nanoTime();
      TimeUnit.SECONDS.sleep(seconds);
      double elapsedNs = System.nanoTime() - startNs;
      Totals spent = Totals.of(fleet).minus(before);
      double perNode = elapsedNs / NS_PER_S * count;
      return new String[] {
        Integer.toString(count),
        Integer.toString(services),
        Integer.toString(backends),
        decimal(100.0 * spent.cpuNs / elapsedNs / count),
        decimal(spent.tasks / perNode),
        decimal(spent.sentBytes / perNode),
        decimal(spent.receivedBytes / perNode),
        decimal(spent.storeCalls / perNode),
        decimal((usedHeapMib() - baseMib) / count)
      };
    }
  }

  private static double usedHeapMib() {
    System.gc();
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed() / BYTES_PER_MIB;
  }

  private static String decimal(double value) {
    return String.format(Locale.ROOT, "%.2f", value);
  }

  private record Totals(
      long cpuNs, long tasks, long sentBytes, long receivedBytes, long storeCalls) {
    static Totals of(TrialFleet fleet) {
      Totals sum = new Totals(0, 0, 0, 0, 0);
      for (GatewayProcess gateway : fleet.gateways().values()) {
        var state = gateway.state();
        var traffic = gateway.peerTraffic();
        sum =
            new Totals(
                sum.cpuNs + state.control().cpuTimeNs(),
                sum.tasks + state.control().tasks(),
                sum.sentBytes + traffic.bytesOut(),
                sum.receivedBytes + traffic.bytesIn(),
                sum.storeCalls + state.storeCalls().reads() + state.storeCalls().writes());
      }
      return sum;
    }

    Totals minus(Totals earlier) {
      return new Totals(
          cpuNs - earlier.cpuNs,
          tasks - earlier.tasks,
          sentBytes - earlier.sentBytes,
          receivedBytes - earlier.receivedBytes,
          storeCalls - earlier.storeCalls);
    }
  }
}
