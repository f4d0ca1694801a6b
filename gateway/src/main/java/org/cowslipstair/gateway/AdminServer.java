package org.cowslipstair.gateway;

import io.javalin.Javalin;
import io.javalin.http.Context;
import io.javalin.http.HttpStatus;
import java.util.Optional;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.StoreId;

/** HTTP server for health checks, metrics, state and call explanations. */
public final class AdminServer implements AutoCloseable {
  private final Javalin server;

  private AdminServer(Javalin server) {
    this.server = server;
  }

  /** Starts the server on an address; port 0 selects a free port. */
  public static AdminServer start(HostPort address, AdminOperations operations) {
    Javalin server =
        Javalin.create(
            config -> {
              config.startup.showJavalinBanner = false;
              config.concurrency.useVirtualThreads = true;
              config.routes.get("/health/live", context -> context.result("live\n"));
              config.routes.get("/health/ready", context -> respondReadiness(context, operations));
              config.routes.get("/metrics", context -> context.result(operations.metrics()));
              config.routes.get("/state", context -> respondJson(context, operations.state()));
              config.routes.get(
                  "/explain/{requestId}", context -> respondExplanation(context, operations));
              config.routes.post(
                  "/store/accept/{storeId}", context -> acceptStore(context, operations));
            });
    server.start(address.host(), address.port());
    return new AdminServer(server);
  }

  private static void respondReadiness(Context context, AdminOperations operations) {
    Optional<String> notReadyReason = operations.notReadyBecause();
    if (notReadyReason.isPresent()) {
      context.status(HttpStatus.SERVICE_UNAVAILABLE).result(notReadyReason.get() + "\n");
      return;
    }
    context.result("ready\n");
  }

  private static void respondExplanation(Context context, AdminOperations operations) {
    String requestId = context.pathParam("requestId");
    Optional<Object> decisions = operations.explain(requestId);
    if (decisions.isEmpty()) {
      context
          .status(HttpStatus.NOT_FOUND)
          .result("no decisions are recorded for request \"%s\"%n".formatted(requestId));
      return;
    }
    respondJson(context, decisions.get());
  }

  private static void acceptStore(Context context, AdminOperations operations) {
    operations.acceptStore(new StoreId(context.pathParam("storeId")));
    context.status(HttpStatus.ACCEPTED);
  }

  private static void respondJson(Context context, Object value) {
    context.contentType("application/json").result(StateJson.toJson(value));
  }

  /** Returns the bound port. */
  public int port() {
    return server.port();
  }

  @Override
  public void close() {
    server.stop();
  }
}
