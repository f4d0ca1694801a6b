package org.cowslipstair.cli;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.model.config.StoreId;
import org.cowslipstair.port.PlatformStore;
import org.cowslipstair.port.StoreException;

/** Waits until every live gateway has a revision of the configuration in force. */
final class RolloutWaiter {
  private static final long POLL_INTERVAL_MS = 200;

  private final PlatformStore store;
  private final AdminClient admin;
  private final Printer printer;

  RolloutWaiter(PlatformStore store, AdminClient admin, Printer printer) {
    this.store = store;
    this.admin = admin;
    this.printer = printer;
  }

  /** Waits until the deadline; prints the lagging gateways whenever that list changes. */
  void await(long revision, Duration timeout) throws CliException, InterruptedException {
    long deadlineNs = System.nanoTime() + timeout.toNanos();
    List<String> lagging = List.of("all gateways: not yet queried");
    try {
      StoreId storeId = store.list(ObjectStore.CONFIG_KINDS).storeId();
      while (true) {
        List<GatewayState> live =
            GatewayState.readAll(store, admin).stream()
                .filter(gateway -> !gateway.instance().leaving())
                .toList();
        List<String> currentlyLagging =
            live.stream()
                .filter(gateway -> !hasInForce(gateway, storeId, revision))
                .map(RolloutWaiter::describe)
                .toList();
        if (currentlyLagging.isEmpty()) {
          printer.progress("revision %d in force on %d gateways".formatted(revision, live.size()));
          return;
        }
        if (!currentlyLagging.equals(lagging)) {
          printer.progress("waiting for " + String.join(", ", currentlyLagging));
        }
        lagging = currentlyLagging;
        if (System.nanoTime() - deadlineNs >= 0) {
          throw new CliException.NotInForce(revision, lagging);
        }
        TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
      }
    } catch (StoreException e) {
      printer.progress("cannot list the gateways: " + e.getMessage());
      throw new CliException.NotInForce(revision, lagging);
    }
  }

  private static boolean hasInForce(GatewayState gateway, StoreId storeId, long revision) {
    return gateway.storeId().equals(storeId.value())
        && gateway.revision() >= revision
        && !gateway.refusesStore();
  }

  private static String describe(GatewayState gateway) {
    if (!gateway.failure().isEmpty()) {
      return "%s (%s)".formatted(gateway.name(), gateway.failure());
    }
    if (gateway.refusesStore()) {
      return "%s (refuses the store)".formatted(gateway.name());
    }
    return "%s (revision %d)".formatted(gateway.name(), gateway.revision());
  }
}
