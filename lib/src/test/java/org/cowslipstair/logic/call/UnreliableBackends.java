package org.cowslipstair.logic.call;

import java.io.IOException;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.port.BackendException;
import org.cowslipstair.port.BackendTransport;

/** Backend servers that fail at random in every way and count the calls they actually ran. */
final class UnreliableBackends implements BackendTransport {
  private static final int SLOW_RESPONSE_MS = 40;
  private final long seed;
  private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  private final Map<String, AtomicInteger> sends = new ConcurrentHashMap<>();
  volatile CallFixture fixture;

  UnreliableBackends(long seed) {
    this.seed = seed;
  }

  static String responseTo(String requestId) {
    return "answer to " + requestId + " from its first byte to its last";
  }

  int runsOf(String id) {
    AtomicInteger count = runs.get(id);
    return count == null ? 0 : count.get();
  }

  @Override
  public BackendResponse send(BackendServer backend, BackendRequest call)
      throws BackendException, InterruptedException {
    String id = call.headers().getFirst().value();
    int number = sends.computeIfAbsent(id, _ -> new AtomicInteger()).incrementAndGet();
    Random random = new Random(seed * 31 + id.hashCode() * 1_000_003L + number);
    fixture.nowNs.addAndGet(random.nextLong(20 * CallFixture.NS_PER_MS));
    String target = call.target();
    String text = responseTo(id);
    return switch (random.nextInt(16)) {
      case 0 -> throw new BackendException.NotSent(backend.name(), new IOException());
      case 1 -> throw new BackendException.ConnectionLost(backend.name(), new IOException());
      case 2 -> {
        recordRun(id, target);
        throw new BackendException.ConnectionLost(backend.name(), new IOException());
      }
      case 3, 4 -> FakeResponse.shed();
      case 5 -> {
        recordRun(id, target);
        throw deadlinePassed(backend.name(), call);
      }
      case 6 -> {
        recordRun(id, target);
        int cutLength = random.nextInt(text.length());
        yield FakeResponse.withAnnouncedLength(text.substring(0, cutLength), text.length());
      }
      case 7 -> {
        recordRun(id, target);
        int cutLength = random.nextInt(text.length());
        yield FakeResponse.failingAfter(text.substring(0, cutLength), text.length());
      }
      case 8, 9 -> {
        recordRun(id, target);
        fixture.timer.advanceTimeBy(SLOW_RESPONSE_MS, TimeUnit.MILLISECONDS);
        Thread.sleep(1);
        yield FakeResponse.complete(text);
      }
      case 10 -> {
        recordRun(id, target);
        fixture.nowNs.addAndGet(2 * CallFixture.TIMEOUT_MS * CallFixture.NS_PER_MS);
        yield FakeResponse.complete(text);
      }
      default -> {
        recordRun(id, target);
        yield FakeResponse.complete(text);
      }
    };
  }

  private BackendException deadlinePassed(BackendName backend, BackendRequest call) {
    long remainingNs = Math.max(0, call.deadlineNs() - fixture.nowNs.get());
    fixture.nowNs.addAndGet(remainingNs);
    return new BackendException.DeadlinePassed(backend, new IOException());
  }

  private void recordRun(String id, String target) {
    runs.computeIfAbsent(id, _ -> new AtomicInteger()).incrementAndGet();
    if (target.startsWith("/pay")) {
      runs.computeIfAbsent(target, _ -> new AtomicInteger()).incrementAndGet();
    }
  }
}
