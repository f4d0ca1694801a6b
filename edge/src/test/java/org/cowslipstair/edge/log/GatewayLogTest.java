package org.cowslipstair.edge.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasEntry;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.cowslipstair.edge.exchange.ExchangeObserver;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.traffic.RequestFingerprint;
import org.cowslipstair.model.traffic.RequestKind;
import org.cowslipstair.model.traffic.Route;
import org.cowslipstair.model.traffic.WeightedService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

final class GatewayLogTest {
  private static final ServiceName SERVICE = new ServiceName("s");
  private static final Route ROUTE =
      new Route(
          "r",
          "a.example",
          "/",
          RequestKind.SAFE,
          1_000,
          300,
          0,
          2,
          List.of(new WeightedService(SERVICE, 1)));
  private final RecordingAppender recordingAppender = new RecordingAppender();
  private final Logger logger = (Logger) LoggerFactory.getLogger("exchange");
  private final GatewayLog log = new GatewayLog("g-1", new GatewayMetrics(), () -> 0);

  /** Records the log events. */
  private static final class RecordingAppender extends AppenderBase<ILoggingEvent> {
    private final List<ILoggingEvent> events = new ArrayList<>();

    @Override
    protected void append(ILoggingEvent event) {
      event.getMDCPropertyMap();
      events.add(event);
    }
  }

  @BeforeEach
  void attachAppender() {
    recordingAppender.setContext((LoggerContext) LoggerFactory.getILoggerFactory());
    recordingAppender.start();
    logger.addAppender(recordingAppender);
  }

  @AfterEach
  void detachAppender() {
    logger.detachAppender(recordingAppender);
  }

  private static ExchangeObserver.Summary summary(
      String id, String outcome, int status, long durationMs) {
    return new ExchangeObserver.Summary(
        Optional.of(id),
        Optional.of(ROUTE),
        Optional.of(SERVICE),
        outcome,
        status,
        1,
        durationMs * 1_000_000L,
        "known=3");
  }

  @Test
  void refusalIsLoggedWithItsReasonAndDetail() {
    log.onExchangeFinished(summary("a1", "no_free_slot", 503, 20));
    assertThat(recordingAppender.events, hasSize(1));
    var fields = recordingAppender.events.getFirst().getMDCPropertyMap();
    assertThat(fields, hasEntry("id", "a1"));
    assertThat(fields, hasEntry("gateway", "g-1"));
    assertThat(fields, hasEntry("outcome", "no_free_slot"));
    assertThat(fields, hasEntry("detail", "known=3"));
  }

  @Test
  void lateResponseIsLoggedAsLate() {
    log.onExchangeFinished(summary("a1", "answered", 200, 400));
    assertThat(
        recordingAppender.events.getFirst().getMDCPropertyMap(), hasEntry("outcome", "late"));
  }

  @Test
  void ordinaryLinesAreRateLimitedButFailuresAreNot() {
    for (int i = 0; i < 1_000; i++) {
      log.onExchangeFinished(summary("ok-" + i, "answered", 200, 10));
    }
    assertThat(recordingAppender.events.size(), lessThanOrEqualTo(60));
    recordingAppender.events.clear();
    for (int i = 0; i < 200; i++) {
      log.onExchangeFinished(summary("bad-" + i, "connection_lost", 502, 10));
    }
    assertThat(recordingAppender.events, hasSize(200));
    assertThat(log.metrics().text(), containsString("log_lines_left_out_total 940"));
  }

  @Test
  void everySendAndItsResultAreLogged() {
    BackendName backend = new BackendName("b");
    log.onRequestSent(
        new ExchangeObserver.Sent(
            Optional.of("a1"), backend, "hedge", 1.2, "0+0/3", 900, 5_000_000));
    RequestFingerprint fingerprint = new RequestFingerprint("0".repeat(RequestFingerprint.DIGITS));
    log.onAttemptEnded(
        new ExchangeObserver.AttemptEnd(
            Optional.of("a1"),
            backend,
            "CONNECTION_LOST: reset",
            7_000_000,
            Optional.of(fingerprint)));
    assertThat(recordingAppender.events, hasSize(2));
    assertThat(recordingAppender.events.getFirst().getMDCPropertyMap(), hasEntry("cause", "hedge"));
    assertThat(recordingAppender.events.getLast().getMDCPropertyMap(), hasEntry("took_ms", "7"));
    assertThat(
        recordingAppender.events.getLast().getMDCPropertyMap(),
        hasEntry("fingerprint", fingerprint.hex()));
    assertThat(log.metrics().text(), containsString("result=\"CONNECTION_LOST\""));
  }

  @Test
  void blockedOutputDoesNotBlockLogging() throws InterruptedException {
    CountDownLatch release = new CountDownLatch(1);
    AppenderBase<ILoggingEvent> blocked =
        new AppenderBase<>() {
          @Override
          protected void append(ILoggingEvent event) {
            try {
              release.await();
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
          }
        };
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    blocked.setContext(context);
    blocked.start();
    BoundedAppender bounded = new BoundedAppender();
    bounded.setContext(context);
    bounded.setQueueSize(8);
    bounded.addAppender(blocked);
    bounded.start();
    logger.addAppender(bounded);
    long before = BoundedAppender.droppedLines();
    for (int i = 0; i < 100; i++) {
      log.onExchangeFinished(summary("bad-" + i, "connection_lost", 502, 10));
    }
    // The writer thread holds one line and may already have removed a full queue of lines.
    assertThat(BoundedAppender.droppedLines() - before >= 100 - 2 * 8 - 1, is(true));
    release.countDown();
    logger.detachAppender(bounded);
    bounded.stop();
  }
}
