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
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/** Health and load endpoints, and the endpoints that change the stand-in. */
final class BackendControl {
  private static final ObjectMapper MAPPER = JsonMapper.builder().build();
  private static final String PREFIX = "/-/";

  private final BackendServerStandin standin;
  private final LoadReport report;

  BackendControl(BackendServerStandin standin) {
    this.standin = standin;
    this.report = new LoadReport(standin.model());
  }

  /** Answers a request for one of the endpoints; returns false for any other path. */
  boolean handle(Request request, Response response, Callback callback)
      throws IOException, InterruptedException {
    String path = Request.getPathInContext(request);
    if (!path.startsWith(PREFIX)) {
      return false;
    }
    String endpoint = request.getMethod() + " " + path.substring(PREFIX.length());
    switch (endpoint) {
      case "GET health" -> json(response, callback, Map.of("health", probed().health()));
      case "GET load" -> json(response, callback, probed());
      case "GET counts" -> json(response, callback, standin.counts());
      case "GET behaviour" -> json(response, callback, standin.behaviour());
      case "POST behaviour" -> changeBehaviour(request, response, callback);
      case "POST cold" -> done(standin::goCold, response, callback);
      case "POST warm" -> done(standin::becomeWarm, response, callback);
      case "POST mark" -> {
        Fields.Field graceMs = Request.extractQueryParameters(request).get("graceMs");
        long grace = graceMs == null ? 0 : Long.parseLong(graceMs.getValue());
        done(() -> standin.mark(grace), response, callback);
      }
      case "POST clear-mark" -> done(standin::clearMark, response, callback);
      default -> Response.writeError(request, response, callback, 404);
    }
    return true;
  }

  private ServiceModel.Load probed() throws InterruptedException {
    standin.counters().probe(System.nanoTime());
    Reports reports = standin.behaviour().reports();
    TimeUnit.MILLISECONDS.sleep(reports.delayMs());
    return report.current(reports);
  }

  /** Changes the fields that the body names and leaves the others. */
  private void changeBehaviour(Request request, Response response, Callback callback)
      throws IOException {
    ObjectNode merged = MAPPER.valueToTree(standin.behaviour());
    try (InputStream in = Content.Source.asInputStream(request)) {
      merge(merged, MAPPER.readTree(in));
    }
    standin.setBehaviour(MAPPER.treeToValue(merged, BackendBehaviour.class));
    json(response, callback, standin.behaviour());
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

  private static void done(Runnable action, Response response, Callback callback)
      throws IOException {
    action.run();
    json(response, callback, Map.of("done", true));
  }

  private static void json(Response response, Callback callback, Object value) throws IOException {
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
    response.write(true, ByteBuffer.wrap(MAPPER.writeValueAsBytes(value)), callback);
  }
}
