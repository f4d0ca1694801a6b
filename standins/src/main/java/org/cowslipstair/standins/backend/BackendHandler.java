package org.cowslipstair.standins.backend;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.io.InputStream;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.zip.CRC32;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.ConnectionMetaData;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/** Serves the requests to one backend server stand-in. */
final class BackendHandler extends Handler.Abstract {
  private static final String REQUEST_ID_HEADER = "X-Request-Id";
  private static final String TIMEOUT_MS_HEADER = "Request-Timeout-Ms";
  private static final String NOT_RUN_HEADER = "Backend-Not-Run";
  private static final String BACKEND_HEADER = "Standin-Backend";
  private static final String RESPONSE_BYTES_HEADER = "Standin-Answer-Bytes";
  private static final String SERVICE_US_HEADER = "Standin-Service-Us";
  private static final String SPENT_US_HEADER = "Standin-Spent-Us";
  private static final String WORKED_US_HEADER = "Standin-Worked-Us";
  private static final String UPLOAD_BYTES_HEADER = "Standin-Upload-Bytes";
  private static final String UPLOAD_CRC32_HEADER = "Standin-Upload-Crc32";
  private static final Set<String> IDEMPOTENT_METHODS =
      Set.of("GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE");
  private static final Set<String> METHODS_WITHOUT_BODY = Set.of("GET", "HEAD", "OPTIONS", "TRACE");
  private static final long DEFAULT_RESPONSE_BYTES = 200;
  private static final long DEFAULT_TIMEOUT_MS = TimeUnit.HOURS.toMillis(1);
  private static final long MAX_EARLY_UPLOAD_BYTES = 65_536;
  private static final String DELAYED_ATTRIBUTE = BackendHandler.class.getName() + ".opened";
  private static final int READ_BUFFER_BYTES = 16_384;

  private final BackendServerStandin standin;
  private final RunRecord runRecord;
  private final BackendControl control;

  BackendHandler(BackendServerStandin standin, RunRecord runRecord) {
    this.standin = standin;
    this.runRecord = runRecord;
    this.control = new BackendControl(standin);
  }

  /** Length and checksum of a request body that was read completely. */
  private record Upload(long lengthBytes, long crc32) {}

  @Override
  public boolean handle(Request request, Response response, Callback callback) throws Exception {
    delayFirstRequest(request);
    if (control.handle(request, response, callback)) {
      return true;
    }
    long arrivedNs = System.nanoTime();
    boolean isReadEarly = hasSmallOrNoBody(request);
    Optional<Upload> earlyUpload = Optional.empty();
    if (isReadEarly) {
      earlyUpload = readBody(request);
      if (earlyUpload.isEmpty()) {
        abort(request, callback);
        return true;
      }
    }
    long timeoutMs = longHeader(request, TIMEOUT_MS_HEADER).orElse(DEFAULT_TIMEOUT_MS);
    long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    BooleanSupplier callerGone = () -> isCallerGone(request);
    ServiceModel.Outcome admission =
        standin.model().acquireSlot(deadlineNs, isReadEarly ? callerGone : () -> false);
    switch (admission) {
      case DONE -> serve(request, response, callback, earlyUpload, deadlineNs, arrivedNs);
      case NOT_RUN -> {
        response.getHeaders().put(NOT_RUN_HEADER, "1");
        response.getHeaders().put(REQUEST_ID_HEADER, requestId(request));
        sendStatus(response, 503, callback);
      }
      default -> abort(request, callback);
    }
    return true;
  }

  private void serve(
      Request request,
      Response response,
      Callback callback,
      Optional<Upload> earlyUpload,
      long deadlineNs,
      long arrivedNs)
      throws IOException {
    AtomicBoolean isSlotReleased = new AtomicBoolean();
    try {
      Optional<Upload> upload = earlyUpload.isPresent() ? earlyUpload : readBody(request);
      if (upload.isEmpty()) {
        releaseSlotOnce(isSlotReleased);
        abort(request, callback);
        return;
      }
      String requestId = requestId(request);
      standin.counters().increment(Counters.Metric.RUN);
      runRecord.recordRun(requestId, IDEMPOTENT_METHODS.contains(request.getMethod()));
      if (standin.model().drawWithProbability(standin.behaviour().errorPercent())) {
        releaseSlotOnce(isSlotReleased);
        sendStatus(response, 500, callback);
        return;
      }
      Optional<Long> serviceUs = longHeader(request, SERVICE_US_HEADER);
      long serviceNs =
          serviceUs.map(TimeUnit.MICROSECONDS::toNanos).orElseGet(standin.model()::drawServiceNs);
      long startedNs = System.nanoTime();
      ServiceModel.Outcome workOutcome =
          standin.model().work(serviceNs, deadlineNs, () -> isCallerGone(request));
      switch (workOutcome) {
        case DONE -> {
          addTimingHeaders(response, arrivedNs, startedNs);
          respond(request, response, callback, upload.get(), isSlotReleased);
        }
        case DEADLINE_PASSED -> {
          releaseSlotOnce(isSlotReleased);
          sendStatus(response, 504, callback);
        }
        default -> {
          releaseSlotOnce(isSlotReleased);
          abort(request, callback);
        }
      }
    } finally {
      releaseSlotOnce(isSlotReleased);
    }
  }

  /** Adds headers with the total time since arrival and with the time spent on the work. */
  private void addTimingHeaders(Response response, long arrivedNs, long startedNs) {
    long nowNs = System.nanoTime();
    standin.model().recordLatency(nowNs - arrivedNs);
    response.getHeaders().put(SPENT_US_HEADER, TimeUnit.NANOSECONDS.toMicros(nowNs - arrivedNs));
    response.getHeaders().put(WORKED_US_HEADER, TimeUnit.NANOSECONDS.toMicros(nowNs - startedNs));
  }

  private void respond(
      Request request,
      Response response,
      Callback callback,
      Upload upload,
      AtomicBoolean isSlotReleased)
      throws IOException {
    String requestId = requestId(request);
    long requestedBytes = longHeader(request, RESPONSE_BYTES_HEADER).orElse(DEFAULT_RESPONSE_BYTES);
    long lengthBytes = EchoBody.lengthBytes(requestId, requestedBytes);
    response.getHeaders().put(REQUEST_ID_HEADER, requestId);
    response.getHeaders().put(BACKEND_HEADER, standin.name());
    response.getHeaders().put(UPLOAD_BYTES_HEADER, upload.lengthBytes());
    response.getHeaders().put(UPLOAD_CRC32_HEADER, "%08x".formatted(upload.crc32()));
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/octet-stream");
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, lengthBytes);
    if (!hasDeclaredChecksum(request, upload)) {
      standin.counters().increment(Counters.Metric.BAD_UPLOAD);
      response.setStatus(422);
    }
    boolean isTruncated = standin.model().drawWithProbability(standin.behaviour().cutPercent());
    EchoBody.BeforeLastBytes beforeLastBytes =
        () -> {
          releaseSlotOnce(isSlotReleased);
          standin.counters().increment(Counters.Metric.ANSWERED);
        };
    try {
      if (isTruncated) {
        releaseSlotOnce(isSlotReleased);
        sendTruncated(request, response, callback);
        return;
      }
      EchoBody.write(
          Content.Sink.asOutputStream(response), requestId, lengthBytes, beforeLastBytes);
      callback.succeeded();
    } catch (IOException e) {
      callback.failed(e);
    }
  }

  /** Writes the response head and a few body bytes, then closes the connection. */
  private static void sendTruncated(Request request, Response response, Callback callback)
      throws IOException {
    Content.Sink.asOutputStream(response).write("cut".getBytes(UTF_8));
    abort(request, callback);
  }

  private void releaseSlotOnce(AtomicBoolean isSlotReleased) {
    if (isSlotReleased.compareAndSet(false, true)) {
      standin.model().releaseSlot();
    }
  }

  /** Delays the first request of a connection, to simulate the time to open it. */
  private void delayFirstRequest(Request request) {
    ConnectionMetaData connection = request.getConnectionMetaData();
    long delayUs = standin.behaviour().connectDelayUs();
    if (delayUs > 0 && connection.getAttribute(DELAYED_ATTRIBUTE) == null) {
      connection.setAttribute(DELAYED_ATTRIBUTE, true);
      LockSupport.parkNanos(TimeUnit.MICROSECONDS.toNanos(delayUs));
    }
  }

  private static boolean hasSmallOrNoBody(Request request) {
    long lengthBytes = request.getLength();
    return METHODS_WITHOUT_BODY.contains(request.getMethod())
        || lengthBytes >= 0 && lengthBytes <= MAX_EARLY_UPLOAD_BYTES;
  }

  /** Reads the complete body; empty if it was truncated. */
  private Optional<Upload> readBody(Request request) {
    CRC32 checksum = new CRC32();
    byte[] buffer = new byte[READ_BUFFER_BYTES];
    long lengthBytes = 0;
    try (InputStream in = Content.Source.asInputStream(request)) {
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        checksum.update(buffer, 0, n);
        lengthBytes += n;
      }
      return Optional.of(new Upload(lengthBytes, checksum.getValue()));
    } catch (IOException _) {
      standin.counters().increment(Counters.Metric.BAD_UPLOAD);
      return Optional.empty();
    }
  }

  private static boolean hasDeclaredChecksum(Request request, Upload upload) {
    String declaredChecksum = request.getHeaders().get(UPLOAD_CRC32_HEADER);
    return declaredChecksum == null || declaredChecksum.equals("%08x".formatted(upload.crc32()));
  }

  /**
   * Returns whether the caller closed its connection. The check reads from the connection, which is
   * safe because callers never pipeline requests.
   */
  private static boolean isCallerGone(Request request) {
    EndPoint endPoint = endPoint(request);
    try {
      return !endPoint.isOpen() || endPoint.fill(BufferUtil.allocate(1)) < 0;
    } catch (IOException _) {
      return true;
    }
  }

  private static EndPoint endPoint(Request request) {
    return request.getConnectionMetaData().getConnection().getEndPoint();
  }

  private static void abort(Request request, Callback callback) {
    endPoint(request).close();
    callback.failed(new CallAbortedException());
  }

  private static void sendStatus(Response response, int status, Callback callback) {
    response.setStatus(status);
    response.write(true, BufferUtil.EMPTY_BUFFER, callback);
  }

  private String requestId(Request request) {
    String requestId = request.getHeaders().get(REQUEST_ID_HEADER);
    return requestId == null ? "" : requestId;
  }

  private static Optional<Long> longHeader(Request request, String header) {
    String text = request.getHeaders().get(header);
    if (text == null) {
      return Optional.empty();
    }
    try {
      return Optional.of(Long.parseLong(text.trim()));
    } catch (NumberFormatException ignored) {
      return Optional.empty();
    }
  }
}
