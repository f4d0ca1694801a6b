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

/** Serves the calls of one backend server stand-in. */
final class BackendHandler extends Handler.Abstract {
  private static final String REQUEST_ID = "X-Request-Id";
  private static final String TIMEOUT_MS = "Request-Timeout-Ms";
  private static final String NOT_RUN = "Backend-Not-Run";
  private static final String BACKEND = "Standin-Backend";
  private static final String ANSWER_BYTES = "Standin-Answer-Bytes";
  private static final String SERVICE_US = "Standin-Service-Us";
  private static final String SPENT_US = "Standin-Spent-Us";
  private static final String WORKED_US = "Standin-Worked-Us";
  private static final String UPLOAD_BYTES = "Standin-Upload-Bytes";
  private static final String UPLOAD_CRC32 = "Standin-Upload-Crc32";
  private static final Set<String> IDEMPOTENT_METHODS =
      Set.of("GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE");
  private static final Set<String> METHODS_WITHOUT_BODY = Set.of("GET", "HEAD", "OPTIONS", "TRACE");
  private static final long DEFAULT_ANSWER_BYTES = 200;
  private static final long DEFAULT_TIMEOUT_MS = TimeUnit.HOURS.toMillis(1);
  private static final long MAX_EARLY_BODY_BYTES = 65_536;
  private static final String OPENED = BackendHandler.class.getName() + ".opened";
  private static final int READ_BYTES = 16_384;

  private final BackendServerStandin standin;
  private final RunRecord record;
  private final BackendControl control;

  BackendHandler(BackendServerStandin standin, RunRecord record) {
    this.standin = standin;
    this.record = record;
    this.control = new BackendControl(standin);
  }

  /** Body of a request after it was read. */
  private record Upload(long lengthBytes, long crc32) {}

  @Override
  public boolean handle(Request request, Response response, Callback callback) throws Exception {
    openConnection(request);
    if (control.handle(request, response, callback)) {
      return true;
    }
    long arrivedNs = System.nanoTime();
    boolean readFirst = hasSmallBody(request);
    Optional<Upload> early = Optional.empty();
    if (readFirst) {
      early = readBody(request);
      if (early.isEmpty()) {
        abort(request, callback);
        return true;
      }
    }
    long timeoutMs = number(request, TIMEOUT_MS).orElse(DEFAULT_TIMEOUT_MS);
    long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    BooleanSupplier callerGone = () -> isCallerGone(request);
    ServiceModel.Step entered =
        standin.model().enter(deadlineNs, readFirst ? callerGone : () -> false);
    switch (entered) {
      case DONE -> serve(request, response, callback, early, deadlineNs, arrivedNs);
      case NOT_RUN -> {
        response.getHeaders().put(NOT_RUN, "1");
        end(response, 503, callback);
      }
      default -> abort(request, callback);
    }
    return true;
  }

  private void serve(
      Request request,
      Response response,
      Callback callback,
      Optional<Upload> early,
      long deadlineNs,
      long arrivedNs)
      throws IOException {
    AtomicBoolean left = new AtomicBoolean();
    try {
      Optional<Upload> upload = early.isPresent() ? early : readBody(request);
      if (upload.isEmpty()) {
        leaveOnce(left);
        abort(request, callback);
        return;
      }
      String requestId = requestId(request);
      standin.counters().add(Counters.Event.RUN);
      record.started(requestId, IDEMPOTENT_METHODS.contains(request.getMethod()));
      if (standin.model().drawPercent(standin.behaviour().errorPercent())) {
        leaveOnce(left);
        end(response, 500, callback);
        return;
      }
      Optional<Long> serviceUs = number(request, SERVICE_US);
      long workNs =
          serviceUs.map(TimeUnit.MICROSECONDS::toNanos).orElseGet(standin.model()::drawWorkNs);
      long startedNs = System.nanoTime();
      ServiceModel.Step worked =
          standin.model().work(workNs, deadlineNs, () -> isCallerGone(request));
      switch (worked) {
        case DONE -> {
          putTimes(response, arrivedNs, startedNs);
          answer(request, response, callback, upload.get(), left);
        }
        case DEADLINE_PASSED -> {
          leaveOnce(left);
          end(response, 504, callback);
        }
        default -> {
          leaveOnce(left);
          abort(request, callback);
        }
      }
    } finally {
      leaveOnce(left);
    }
  }

  /** Tells the caller how long the call was here, and how long of that it was worked on. */
  private void putTimes(Response response, long arrivedNs, long startedNs) {
    long nowNs = System.nanoTime();
    standin.model().noteLatency(nowNs - arrivedNs);
    response.getHeaders().put(SPENT_US, TimeUnit.NANOSECONDS.toMicros(nowNs - arrivedNs));
    response.getHeaders().put(WORKED_US, TimeUnit.NANOSECONDS.toMicros(nowNs - startedNs));
  }

  private void answer(
      Request request, Response response, Callback callback, Upload upload, AtomicBoolean left)
      throws IOException {
    String requestId = requestId(request);
    long askedBytes = number(request, ANSWER_BYTES).orElse(DEFAULT_ANSWER_BYTES);
    long lengthBytes = EchoBody.lengthBytes(requestId, askedBytes);
    response.getHeaders().put(REQUEST_ID, requestId);
    response.getHeaders().put(BACKEND, standin.name());
    response.getHeaders().put(UPLOAD_BYTES, upload.lengthBytes());
    response.getHeaders().put(UPLOAD_CRC32, "%08x".formatted(upload.crc32()));
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/octet-stream");
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, lengthBytes);
    if (!matches(request, upload)) {
      standin.counters().add(Counters.Event.BAD_UPLOAD);
      response.setStatus(422);
    }
    boolean cut = standin.model().drawPercent(standin.behaviour().cutPercent());
    EchoBody.BeforeEnd beforeEnd =
        () -> {
          leaveOnce(left);
          standin.counters().add(Counters.Event.ANSWERED);
        };
    try {
      if (cut) {
        leaveOnce(left);
        cutOff(request, response, callback);
        return;
      }
      EchoBody.write(Content.Sink.asOutputStream(response), requestId, lengthBytes, beforeEnd);
      callback.succeeded();
    } catch (IOException e) {
      callback.failed(e);
    }
  }

  /** Writes the head and a few bytes, then closes the connection. */
  private static void cutOff(Request request, Response response, Callback callback)
      throws IOException {
    Content.Sink.asOutputStream(response).write("cut".getBytes(UTF_8));
    abort(request, callback);
  }

  private void leaveOnce(AtomicBoolean left) {
    if (left.compareAndSet(false, true)) {
      standin.model().leave();
    }
  }

  /** Delays the first request of a connection by what opening it takes. */
  private void openConnection(Request request) {
    ConnectionMetaData connection = request.getConnectionMetaData();
    long delayUs = standin.behaviour().connectDelayUs();
    if (delayUs > 0 && connection.getAttribute(OPENED) == null) {
      connection.setAttribute(OPENED, true);
      LockSupport.parkNanos(TimeUnit.MICROSECONDS.toNanos(delayUs));
    }
  }

  private static boolean hasSmallBody(Request request) {
    long lengthBytes = request.getLength();
    return METHODS_WITHOUT_BODY.contains(request.getMethod())
        || lengthBytes >= 0 && lengthBytes <= MAX_EARLY_BODY_BYTES;
  }

  /** Reads the body to its end; empty if it broke off. */
  private Optional<Upload> readBody(Request request) {
    CRC32 checksum = new CRC32();
    byte[] buffer = new byte[READ_BYTES];
    long lengthBytes = 0;
    try (InputStream in = Content.Source.asInputStream(request)) {
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        checksum.update(buffer, 0, n);
        lengthBytes += n;
      }
      return Optional.of(new Upload(lengthBytes, checksum.getValue()));
    } catch (IOException _) {
      standin.counters().add(Counters.Event.BAD_UPLOAD);
      return Optional.empty();
    }
  }

  private static boolean matches(Request request, Upload upload) {
    String declared = request.getHeaders().get(UPLOAD_CRC32);
    return declared == null || declared.equals("%08x".formatted(upload.crc32()));
  }

  /** Looks whether the caller closed its connection; callers never pipeline requests. */
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

  private static void end(Response response, int status, Callback callback) {
    response.setStatus(status);
    response.write(true, BufferUtil.EMPTY_BUFFER, callback);
  }

  private String requestId(Request request) {
    String requestId = request.getHeaders().get(REQUEST_ID);
    return requestId == null ? "" : requestId;
  }

  private static Optional<Long> number(Request request, String header) {
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
