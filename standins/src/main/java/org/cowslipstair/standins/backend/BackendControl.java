package org.cowslipstair.standins.backend;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/** Health and load endpoints, and the control endpoints of the stand-in. */
final class BackendControl {
  private static final ObjectMapper MAPPER = JsonMapper.builder().build();
  private static final String PATH_PREFIX = "/-/";
  private static final String LOAD_HEADER = "Backend-Load";
  private static final String COLD_HEADER = "Backend-Cold-Ms";
  private static final double PERCENT = 100;

  /** Time for which a cold server says that it stays cold; it cannot know, calls warm it. */
  private static final long COLD_REPORT_MS = 500;

  private final BackendServerStandin standin;
  private final LoadReporter loadReporter;

  BackendControl(BackendServerStandin standin) {
    this.standin = standin;
    this.loadReporter = new LoadReporter(standin.model());
  }

  /** Handles a request for one of the endpoints; returns false for any other path. */
  boolean handle(Request request, Response response, Callback callback)
      throws IOException, InterruptedException {
    String path = Request.getPathInContext(request);
    if (!path.startsWith(PATH_PREFIX)) {
      return false;
    }
    String endpoint = request.getMethod() + " " + path.substring(PATH_PREFIX.length());
    switch (endpoint) {
      case "GET health" -> sendJson(response, callback, Map.of("health", probeLoad().health()));
      case "GET load" -> sendJson(response, callback, probeLoad());
      case "GET status" -> sendStatus(response, callback);
      case "GET counts" -> sendJson(response, callback, standin.counts());
      case "GET behaviour" -> sendJson(response, callback, standin.behaviour());
      case "POST behaviour" -> changeBehaviour(request, response, callback);
      case "POST cold" -> runAndConfirm(standin::goCold, response, callback);
      case "POST warm" -> runAndConfirm(standin::becomeWarm, response, callback);
      case "POST mark" -> {
        Fields.Field graceField = Request.extractQueryParameters(request).get("graceMs");
        long graceMs = graceField == null ? 0 : Long.parseLong(graceField.getValue());
        runAndConfirm(() -> standin.mark(graceMs), response, callback);
      }
      case "POST clear-mark" -> runAndConfirm(standin::clearMark, response, callback);
      default -> Response.writeError(request, response, callback, 404);
    }
    return true;
  }

  /** Health as the status code, load and the rest of a cold start as headers. */
  private void sendStatus(Response response, Callback callback) throws InterruptedException {
    ServiceModel.Load load = probeLoad();
    boolean isHealthy = load.health() == BackendHealth.WARM || load.health() == BackendHealth.COLD;
    long pacePercent = Math.round(PERCENT * standin.model().slowdownFactor());
    response.setStatus(isHealthy ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503);
    response
        .getHeaders()
        .put(
            LOAD_HEADER,
            "%d,%d,%d,%d".formatted(load.running(), load.waiting(), load.slots(), pacePercent));
    if (load.health() == BackendHealth.COLD) {
      response.getHeaders().put(COLD_HEADER, COLD_REPORT_MS);
    }
    response.write(true, BufferUtil.EMPTY_BUFFER, callback);
  }

  private ServiceModel.Load probeLoad() throws InterruptedException {
    standin.counters().recordProbe(System.nanoTime());
    Reports reports = standin.behaviour().reports();
    TimeUnit.MILLISECONDS.sleep(reports.delayMs());
    return loadReporter.reported(reports);
  }

  /** Updates the fields that are present in the body and leaves the others unchanged. */
  private void changeBehaviour(Request request, Response response, Callback callback)
      throws IOException {
    ObjectNode merged = MAPPER.valueToTree(standin.behaviour());
    try (InputStream in = Content.Source.asInputStream(request)) {
      merge(merged, MAPPER.readTree(in));
    }
    standin.setBehaviour(MAPPER.treeToValue(merged, BackendBehaviour.class));
    sendJson(response, callback, standin.behaviour());
  }

  private static void merge(ObjectNode target, JsonNode change) {
    for (Map.Entry<String, JsonNode> field : change.properties()) {
      if (target.get(field.getKey()) instanceof ObjectNode nested && field.getValue().isObject()) {
        merge(nested, field.getValue());
      } else {
        target.set(field.getKey(), field.getValue());
      }
    }
  }

  private static void runAndConfirm(Runnable action, Response response, Callback callback)
      throws IOException {
    action.run();
    sendJson(response, callback, Map.of("done", true));
  }

  private static void sendJson(Response response, Callback callback, Object value)
      throws IOException {
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
    response.write(true, ByteBuffer.wrap(MAPPER.writeValueAsBytes(value)), callback);
  }
}
