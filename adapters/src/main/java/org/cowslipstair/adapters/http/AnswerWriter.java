package org.cowslipstair.adapters.http;

import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cowslipstair.model.call.CallHeaders;
import org.cowslipstair.model.call.HeaderField;
import org.cowslipstair.port.BackendTransport.BackendResponse;
import org.eclipse.jetty.ee10.servlet.ServletContextResponse;
import org.eclipse.jetty.http.HttpFields;

/** Writes answers and refusals to a caller. */
final class AnswerWriter {
  private static final int BUFFER_BYTES = 16 * 1024;
  private static final String CONTENT_LENGTH = "Content-Length";
  private static final String CONTENT_TYPE = "Content-Type";
  private final CallerLimits limits;

  AnswerWriter(CallerLimits limits) {
    this.limits = limits;
  }

  /** Writes a refusal. */
  void writeProblem(
      HttpServletResponse response, Problem problem, String requestId, boolean closing)
      throws IOException {
    byte[] json = problem.toJson();
    HttpFields.Mutable headers = start(response, problem.status(), requestId, closing);
    headers.put(CONTENT_TYPE, Problem.MEDIA_TYPE);
    headers.put(CONTENT_LENGTH, json.length);
    headers.put(CallHeaders.OUTCOME, problem.outcome());
    if (problem.retryAfterSeconds() > 0) {
      headers.put("Retry-After", problem.retryAfterSeconds());
    }
    if (problem.status() == BadRequestException.Fault.METHOD.status()) {
      headers.put("Allow", "GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS");
    }
    OutputStream out = response.getOutputStream();
    out.write(json);
    out.close();
  }

  /**
   * Writes an answer. A small body is read whole, which frees the slot, before the first byte goes
   * to the caller.
   *
   * @throws AnswerLostException if the body broke off before anything was sent
   * @throws IOException if the body or the caller broke off later
   */
  void writeAnswer(
      HttpServletResponse response, BackendResponse answer, String requestId, boolean closing)
      throws IOException, AnswerLostException {
    boolean live = isEventStream(answer);
    byte[] start = live ? new byte[0] : readStart(answer);
    boolean whole = !live && start.length <= limits.bufferedBytes();
    List<HeaderField> trailers = whole ? answer.trailers() : List.of();
    if (whole) {
      answer.close();
    }
    HttpFields.Mutable headers = start(response, answer.status(), requestId, closing);
    boolean hasLength = addHeaders(headers, answer.headers());
    boolean mayFrame = whole && !hasLength && trailers.isEmpty() && start.length > 0;
    if (mayFrame) {
      headers.put(CONTENT_LENGTH, start.length);
    }
    if (!hasLength && !mayFrame) {
      setTrailers(response, answer, trailers, whole);
    }
    OutputStream out = response.getOutputStream();
    out.write(start);
    if (!whole) {
      copyRest(answer.body(), response, live);
    }
    out.close();
  }

  private byte[] readStart(BackendResponse answer) throws AnswerLostException {
    try {
      return answer.body().readNBytes(limits.bufferedBytes() + 1);
    } catch (IOException e) {
      throw new AnswerLostException(e);
    }
  }

  /** Returns whether a caller waits for each piece of a body that goes on without end. */
  private static boolean isEventStream(BackendResponse answer) {
    return HeaderRules.first(answer.headers(), CONTENT_TYPE)
        .filter(type -> type.startsWith("text/event-stream"))
        .isPresent();
  }

  private static HttpFields.Mutable start(
      HttpServletResponse response, int status, String requestId, boolean closing) {
    response.setStatus(status);
    HttpFields.Mutable headers =
        ServletContextResponse.getServletContextResponse(response).getHeaders();
    headers.clear();
    headers.put(CallHeaders.REQUEST_ID, requestId);
    if (closing) {
      headers.put("Connection", "close");
    }
    return headers;
  }

  /** Adds the header fields of an answer; returns whether they say its length. */
  private static boolean addHeaders(HttpFields.Mutable headers, List<HeaderField> fields) {
    boolean hasLength = false;
    for (HeaderField field : fields) {
      if (isNotPassedOn(field.name())) {
        continue;
      }
      hasLength |= field.name().equalsIgnoreCase(CONTENT_LENGTH);
      headers.add(field.name(), HeaderRules.latin1FromUtf8(field.value()));
    }
    headers.add("Via", "1.1 cowslipstair");
    return hasLength;
  }

  private static boolean isNotPassedOn(String name) {
    return HeaderRules.isInternal(name)
        || name.equalsIgnoreCase(CallHeaders.BACKEND_NOT_RUN)
        || name.equalsIgnoreCase(CallHeaders.REQUEST_ID);
  }

  private static void setTrailers(
      HttpServletResponse response,
      BackendResponse answer,
      List<HeaderField> known,
      boolean whole) {
    boolean announced = HeaderRules.first(answer.headers(), "Trailer").isPresent();
    if (whole && known.isEmpty() || !whole && !announced) {
      return;
    }
    response.setTrailerFields(() -> trailerMap(whole ? known : trailersOf(answer)));
  }

  private static List<HeaderField> trailersOf(BackendResponse answer) {
    try {
      return answer.trailers();
    } catch (IOException _) {
      return List.of();
    }
  }

  private static Map<String, String> trailerMap(List<HeaderField> trailers) {
    Map<String, String> map = new LinkedHashMap<>();
    for (HeaderField field : new ArrayList<>(trailers)) {
      String value = HeaderRules.latin1FromUtf8(field.value());
      map.merge(field.name(), value, (first, second) -> first + ", " + second);
    }
    return map;
  }

  private static void copyRest(InputStream body, HttpServletResponse response, boolean live)
      throws IOException, AnswerLostException {
    OutputStream out = response.getOutputStream();
    byte[] buffer = new byte[BUFFER_BYTES];
    int count = readRest(body, buffer, response);
    while (count >= 0) {
      out.write(buffer, 0, count);
      if (live) {
        out.flush();
      }
      count = readRest(body, buffer, response);
    }
  }

  private static int readRest(InputStream body, byte[] buffer, HttpServletResponse response)
      throws IOException, AnswerLostException {
    try {
      return body.read(buffer);
    } catch (IOException e) {
      if (response.isCommitted()) {
        throw e;
      }
      response.reset();
      throw new AnswerLostException(e);
    }
  }
}
