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

/** Backend servers that fail in every way at random, and count what they really ran. */
final class UnreliableBackends implements BackendTransport {
  private static final int SLOW_ANSWER_MS = 40;
  private final long seed;
  private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  private final Map<String, AtomicInteger> sends = new ConcurrentHashMap<>();
  volatile CallFixture fixture;

  UnreliableBackends(long seed) {
    this.seed = seed;
  }

  static String answerTo(String requestId) {
    return "answer to " + requestId + " from its first byte to its last";
  }

  int runsOf(String id) {
    AtomicInteger count = runs.get(id);
    return count == null ? 0 : count.get();
  }

  @Override
  public BackendAnswer send(BackendServer backend, BackendCall call)
      throws BackendException, InterruptedException {
    String id = call.headers().getFirst().value();
    int number = sends.computeIfAbsent(id, _ -> new AtomicInteger()).incrementAndGet();
    Random random = new Random(seed * 31 + id.hashCode() * 1_000_003L + number);
    fixture.nowNs.addAndGet(random.nextLong(20 * CallFixture.NS_PER_MS));
    String target = call.target();
    String text = answerTo(id);
    return switch (random.nextInt(16)) {
      case 0 -> throw new BackendException.NotSent(backend.name(), new IOException());
      case 1 -> throw new BackendException.ConnectionLost(backend.name(), new IOException());
      case 2 -> {
        run(id, target);
        throw new BackendException.ConnectionLost(backend.name(), new IOException());
      }
      case 3, 4 -> FakeAnswer.shed();
      case 5 -> {
        run(id, target);
        throw late(backend.name(), call);
      }
      case 6 -> {
        run(id, target);
        int cut = random.nextInt(text.length());
        yield FakeAnswer.announced(text.substring(0, cut), text.length());
      }
      case 7 -> {
        run(id, target);
        int cut = random.nextInt(text.length());
        yield FakeAnswer.brokenOff(text.substring(0, cut), text.length());
      }
      case 8, 9 -> {
        run(id, target);
        fixture.timer.advanceTimeBy(SLOW_ANSWER_MS, TimeUnit.MILLISECONDS);
        Thread.sleep(1);
        yield FakeAnswer.whole(text);
      }
      case 10 -> {
        run(id, target);
        fixture.nowNs.addAndGet(2 * CallFixture.TIMEOUT_MS * CallFixture.NS_PER_MS);
        yield FakeAnswer.whole(text);
      }
      default -> {
        run(id, target);
        yield FakeAnswer.whole(text);
      }
    };
  }

  private BackendException late(BackendName backend, BackendCall call) {
    long lateNs = Math.max(0, call.deadlineNs() - fixture.nowNs.get());
    fixture.nowNs.addAndGet(lateNs);
    return new BackendException.DeadlinePassed(backend, new IOException());
  }

  private void run(String id, String target) {
    runs.computeIfAbsent(id, _ -> new AtomicInteger()).incrementAndGet();
    if (target.startsWith("/pay")) {
      runs.computeIfAbsent(target, _ -> new AtomicInteger()).incrementAndGet();
    }
  }
}
