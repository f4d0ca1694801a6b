package org.cowslipstair.gateway;

import io.javalin.Javalin;
import io.javalin.http.Context;
import io.javalin.http.HttpStatus;
import java.util.Optional;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.StoreId;

/** Serves health, metrics, state and explanations on an address of its own. */
public final class AdminServer implements AutoCloseable {
  private final Javalin server;

  private AdminServer(Javalin server) {
    this.server = server;
  }

  /** Starts the server on an address; port 0 takes any free port. */
  public static AdminServer start(HostPort address, AdminView view) {
    Javalin server =
        Javalin.create(
            config -> {
              config.startup.showJavalinBanner = false;
              config.concurrency.useVirtualThreads = true;
              config.routes.get("/health/live", context -> context.result("live\n"));
              config.routes.get("/health/ready", context -> ready(context, view));
              config.routes.get("/metrics", context -> context.result(view.metrics()));
              config.routes.get("/state", context -> json(context, view.state()));
              config.routes.get("/explain/{requestId}", context -> explain(context, view));
              config.routes.post("/store/accept/{storeId}", context -> accept(context, view));
            });
    server.start(address.host(), address.port());
    return new AdminServer(server);
  }

  private static void ready(Context context, AdminView view) {
    Optional<String> obstacle = view.notReadyBecause();
    if (obstacle.isPresent()) {
      context.status(HttpStatus.SERVICE_UNAVAILABLE).result(obstacle.get() + "\n");
      return;
    }
    context.result("ready\n");
  }

  private static void explain(Context context, AdminView view) {
    String requestId = context.pathParam("requestId");
    Optional<Object> trail = view.explain(requestId);
    if (trail.isEmpty()) {
      context
          .status(HttpStatus.NOT_FOUND)
          .result("no decision is kept for request \"%s\"%n".formatted(requestId));
      return;
    }
    json(context, trail.get());
  }

  private static void accept(Context context, AdminView view) {
    view.acceptStore(new StoreId(context.pathParam("storeId")));
    context.status(HttpStatus.ACCEPTED);
  }

  private static void json(Context context, Object value) {
    context.contentType("application/json").result(StateJson.write(value));
  }

  /** Returns the port that is bound. */
  public int port() {
    return server.port();
  }

  @Override
  public void close() {
    server.stop();
  }
}
