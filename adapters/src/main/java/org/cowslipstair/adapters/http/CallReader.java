package org.cowslipstair.adapters.http;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.SequenceInputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import org.cowslipstair.adapters.http.BadRequestException.Fault;
import org.cowslipstair.logic.call.CallRequest;
import org.cowslipstair.model.call.CallHeaders;
import org.cowslipstair.model.call.HeaderField;
import org.cowslipstair.port.BackendTransport.BackendRequestBody;
import org.cowslipstair.port.MonotonicClock;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.server.Request;

/** Reads a call from the HTTP request of a caller and refuses what must not be passed on. */
final class CallReader {
  private static final Set<String> METHODS =
      Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");
  private static final Set<String> SCHEMES = Set.of("http", "https");
  private static final Set<String> METHODS_WITHOUT_BODY = Set.of("GET", "HEAD");
  private static final Set<String> NOT_PASSED_ON =
      Set.of("content-length", "expect", "trailer", "backend-not-run", "request-timeout-ms");
  private static final Pattern REQUEST_ID = Pattern.compile("[!-~]{1,128}");
  private static final Pattern TIMEOUT_MS = Pattern.compile("[0-9]{1,15}");
  private static final Pattern DOT_SEGMENT =
      Pattern.compile("(^|/)(\\.|%2e){1,2}(;[^/]*)?(/|$)", Pattern.CASE_INSENSITIVE);
  private static final long NS_PER_MS = 1_000_000;
  private final CallerLimits limits;
  private final MonotonicClock clock;
  private final Supplier<String> requestIds;

  CallReader(CallerLimits limits, MonotonicClock clock, Supplier<String> requestIds) {
    this.limits = limits;
    this.clock = clock;
    this.requestIds = requestIds;
  }

  /** Returns the caller's id of a request, or a new one. */
  String requestId(Request request) throws BadRequestException {
    String given = request.getHeaders().get(CallHeaders.REQUEST_ID);
    if (given == null) {
      return requestIds.get();
    }
    if (!REQUEST_ID.matcher(given).matches()) {
      throw new BadRequestException(Fault.REQUEST_ID);
    }
    return given;
  }

  /** Reads a call; a small body is read whole before this returns. */
  CallRequest read(
      Request request, String requestId, InputStream content, CallerBytesWatch.Caller caller)
      throws BadRequestException {
    long arrivedNs = clock.nowNs();
    checkProtocol(request);
    checkCoding(request);
    String target = target(request);
    String host = host(request);
    List<HeaderField> received = received(request);
    long deadlineNs = deadlineNs(received, arrivedNs);
    BackendRequestBody body = body(request, content, caller);
    return new CallRequest(
        requestId,
        request.getMethod(),
        host,
        request.getHttpURI().getCanonicalPath(),
        target,
        passedOn(request, received, requestId),
        HeaderRules.first(received, CallHeaders.IDEMPOTENCY_KEY),
        body,
        deadlineNs);
  }

  private static void checkProtocol(Request request) throws BadRequestException {
    if (request.getConnectionMetaData().getHttpVersion() != HttpVersion.HTTP_1_1) {
      throw new BadRequestException(Fault.HTTP_VERSION);
    }
    if (!METHODS.contains(request.getMethod())) {
      throw new BadRequestException(Fault.METHOD);
    }
    String expect = request.getHeaders().get("Expect");
    if (expect != null && !expect.equalsIgnoreCase("100-continue")) {
      throw new BadRequestException(Fault.EXPECTATION);
    }
  }

  private static void checkCoding(Request request) throws BadRequestException {
    List<HttpField> codings = request.getHeaders().getFields("Transfer-Encoding");
    if (codings.isEmpty()) {
      return;
    }
    if (codings.size() > 1 || !"chunked".equalsIgnoreCase(codings.getFirst().getValue())) {
      throw new BadRequestException(Fault.TRANSFER_CODING);
    }
  }

  private static String target(Request request) throws BadRequestException {
    String target = request.getHttpURI().getPathQuery();
    if (target == null || !target.startsWith("/") || !HeaderRules.isAscii(target)) {
      throw new BadRequestException(Fault.TARGET);
    }
    String scheme = request.getHttpURI().getScheme();
    if (scheme != null && !SCHEMES.contains(scheme)) {
      throw new BadRequestException(Fault.TARGET);
    }
    if (DOT_SEGMENT.matcher(pathOf(target)).find()) {
      throw new BadRequestException(Fault.TARGET);
    }
    return target;
  }

  private static String pathOf(String target) {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }

  private static String host(Request request) throws BadRequestException {
    String name = Request.getServerName(request);
    if (name == null || name.isEmpty() || request.getHeaders().getFields("Host").size() != 1) {
      throw new BadRequestException(Fault.HOST);
    }
    return name.toLowerCase(Locale.ROOT);
  }

  private static List<HeaderField> received(Request request) throws BadRequestException {
    List<HeaderField> fields = new ArrayList<>(request.getHeaders().size());
    for (HttpField field : request.getHeaders()) {
      String latin1 = field.getValue() == null ? "" : field.getValue();
      Optional<String> value = HeaderRules.utf8FromLatin1(latin1);
      if (value.isEmpty()) {
        throw new BadRequestException(Fault.HEADER);
      }
      fields.add(new HeaderField(field.getName(), value.get()));
    }
    return fields;
  }

  private long deadlineNs(List<HeaderField> received, long arrivedNs) throws BadRequestException {
    Optional<String> given = HeaderRules.first(received, CallHeaders.TIMEOUT_MS);
    if (given.isEmpty()) {
      return Long.MAX_VALUE;
    }
    if (!TIMEOUT_MS.matcher(given.get()).matches()) {
      throw new BadRequestException(Fault.TIMEOUT);
    }
    long timeoutMs = Long.parseLong(given.get());
    if (timeoutMs == 0) {
      throw new BadRequestException(Fault.TIMEOUT);
    }
    return arrivedNs + Math.min(timeoutMs, limits.maxCallTimeoutMs()) * NS_PER_MS;
  }

  private static List<HeaderField> passedOn(
      Request request, List<HeaderField> received, String requestId) {
    List<HeaderField> fields = new ArrayList<>(received.size() + 3);
    for (HeaderField field : HeaderRules.endToEnd(received)) {
      String name = field.name().toLowerCase(Locale.ROOT);
      boolean isRequestId = field.name().equalsIgnoreCase(CallHeaders.REQUEST_ID);
      if (!NOT_PASSED_ON.contains(name) && !HeaderRules.isInternal(name) && !isRequestId) {
        fields.add(field);
      }
    }
    fields.add(new HeaderField(CallHeaders.REQUEST_ID, requestId));
    fields.add(new HeaderField("Via", "1.1 cowslipstair"));
    fields.add(new HeaderField("X-Forwarded-For", Request.getRemoteAddr(request)));
    return fields;
  }

  private BackendRequestBody body(
      Request request, InputStream content, CallerBytesWatch.Caller caller)
      throws BadRequestException {
    long lengthBytes = request.getLength();
    if (lengthBytes == 0
        || lengthBytes < 0 && !request.getHeaders().contains("Transfer-Encoding")) {
      return new BackendRequestBody.None();
    }
    if (METHODS_WITHOUT_BODY.contains(request.getMethod())) {
      throw new BadRequestException(Fault.BODY_NOT_ALLOWED);
    }
    if (lengthBytes > limits.maxBodyBytes()) {
      throw new BadRequestException(Fault.BODY_TOO_LARGE);
    }
    CallerBodyStream stream = new CallerBodyStream(content, limits, clock, caller::onBodyBytes);
    if (lengthBytes > limits.bufferedBytes()) {
      return new BackendRequestBody.Streamed(stream, lengthBytes);
    }
    return readAhead(stream, lengthBytes);
  }

  private BackendRequestBody readAhead(CallerBodyStream stream, long lengthBytes)
      throws BadRequestException {
    int wantedBytes = lengthBytes < 0 ? limits.bufferedBytes() + 1 : (int) lengthBytes;
    try {
      byte[] start = stream.readNBytes(wantedBytes);
      if (lengthBytes < 0 && start.length == wantedBytes) {
        InputStream whole = new SequenceInputStream(new ByteArrayInputStream(start), stream);
        return new BackendRequestBody.Streamed(whole, -1);
      }
      if (lengthBytes >= 0 && start.length < wantedBytes) {
        throw new BadRequestException(Fault.BODY_BROKEN);
      }
      return new BackendRequestBody.Buffered(start);
    } catch (IOException e) {
      throw new BadRequestException(faultOf(e));
    }
  }

  private static Fault faultOf(IOException e) {
    if (e instanceof CallerBodyStream.TooLargeException) {
      return Fault.BODY_TOO_LARGE;
    }
    boolean slow =
        e instanceof CallerBodyStream.TooSlowException || e.getCause() instanceof TimeoutException;
    return slow ? Fault.BODY_TIMEOUT : Fault.BODY_BROKEN;
  }
}
