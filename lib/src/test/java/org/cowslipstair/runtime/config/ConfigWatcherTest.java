package org.cowslipstair.runtime.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cowslipstair.model.config.StoreId;
import org.junit.jupiter.api.Test;

class ConfigWatcherTest {
  private static final int MANY_GATEWAYS = 1_000;

  private static void await(String description, BooleanSupplier condition)
      throws InterruptedException {
    long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (!condition.getAsBoolean()) {
      assertThat(description, System.nanoTime() < deadlineNs, is(true));
      Thread.sleep(5);
    }
  }

  @Test
  void listsOnceAndFollowsWatchThroughOutage() throws Exception {
    FakePlatformStore platformStore = new FakePlatformStore();
    platformStore.write("a", "in");
    try (WatchingGateway gateway = new WatchingGateway(platformStore, 1, MANY_GATEWAYS)) {
      await("list", () -> gateway.stateOf("a").equals("in"));
      platformStore.write("a", "out");
      await("watch", () -> gateway.stateOf("a").equals("out"));
      platformStore.setDown(true);
      await("failure", () -> gateway.store.counts().failed() > 0);
      platformStore.write("a", "back");
      platformStore.setDown(false);
      await("return", () -> gateway.stateOf("a").equals("back"));

      assertThat(gateway.store.counts().lists(), is(1L));
      assertThat(gateway.wasStatusPublishedTooEarly.get(), is(false));
      assertThat(gateway.storeContacts.get(), greaterThanOrEqualTo(3));
    }
  }

  @Test
  void restoredStoreIsRefusedAndListedImmediatelyOnceAccepted() throws Exception {
    FakePlatformStore platformStore = new FakePlatformStore();
    platformStore.write("a", "out");
    try (WatchingGateway gateway = new WatchingGateway(platformStore, 2, MANY_GATEWAYS)) {
      await("list", () -> gateway.stateOf("a").equals("out"));
      platformStore.restoreWithoutObjects("store-b");
      await("refusal", () -> gateway.config.status().refusedStore().isPresent());
      assertThat(gateway.stateOf("a"), is("out"));

      gateway.config.acceptStore(new StoreId("store-b")).get();
      await(
          "replacement", () -> gateway.config.versionInForce().storeId().value().equals("store-b"));
      assertThat(gateway.stateOf("a"), is("absent"));
      assertThat(gateway.config.versionInForce().storeTerm(), is(1L));
    }
  }

  /** Without this, no later change would be in force on this gateway until it restarts. */
  @Test
  void followsTheStoreAfterAnUnexpectedError() throws Exception {
    FakePlatformStore platformStore = new FakePlatformStore();
    platformStore.write("a", "in");
    try (WatchingGateway gateway = new WatchingGateway(platformStore, 4, MANY_GATEWAYS)) {
      await("list", () -> gateway.stateOf("a").equals("in"));
      platformStore.setBroken(true);
      platformStore.write("a", "lost");
      Thread.sleep(500);
      platformStore.setBroken(false);
      platformStore.write("a", "out");
      await("later change", () -> gateway.stateOf("a").equals("out"));
    }
  }

  @Test
  void recheckDetectsChangeWhileWatchHangs() throws Exception {
    FakePlatformStore platformStore = new FakePlatformStore();
    platformStore.write("a", "in");
    try (WatchingGateway gateway = new WatchingGateway(platformStore, 3, 1)) {
      await("list", () -> gateway.stateOf("a").equals("in"));
      platformStore.hangWatches();
      platformStore.write("a", "out");
      await("recheck", () -> gateway.stateOf("a").equals("out"));
      assertThat(gateway.store.counts().lists(), greaterThanOrEqualTo(2L));
    }
  }

  @Property(seed = "61")
  void delayDoublesUpToMaximumAndIsSpreadAroundMean(
      @ForAll @IntRange(min = 1, max = 80) int consecutiveFailures, @ForAll long seed) {
    StoreBackoff backoff = StoreBackoff.defaults();
    long delayMs = backoff.delayMs(consecutiveFailures, new Random(seed));
    long meanMs =
        consecutiveFailures > 6 ? 10_000 : Math.min(10_000, 250L << (consecutiveFailures - 1));

    assertThat(delayMs, greaterThanOrEqualTo(meanMs / 2));
    assertThat(delayMs, lessThanOrEqualTo(meanMs * 3 / 2));
  }
}
