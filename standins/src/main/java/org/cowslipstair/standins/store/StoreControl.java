package org.cowslipstair.standins.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.config.RoutesConfig;
import io.javalin.http.Context;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Control endpoints of the stand-in, separate from the platform's API and not subject to faults.
 */
final class StoreControl {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final StoreServer server;
  private final AtomicReference<StoreServer.Backup> backup;

  StoreControl(StoreServer server) {
    this.server = server;
    this.backup = new AtomicReference<>();
  }

  void addRoutes(RoutesConfig routes) {
    routes.get("/-/faults", ctx -> StoreServer.sendJson(ctx, server.faults()));
    routes.post("/-/faults", this::changeFaults);
    routes.get("/-/calls", ctx -> StoreServer.sendJson(ctx, server.calls().toMap()));
    routes.put("/-/instances", this::replaceInstances);
    routes.post("/-/backup", _ -> backup.set(server.backup()));
    routes.post("/-/restore", this::restore);
  }

  /** Updates the faults that are present in the body and leaves the others unchanged. */
  private void changeFaults(Context ctx) throws JsonProcessingException {
    ObjectNode merged = MAPPER.valueToTree(server.faults());
    JsonNode change = MAPPER.readTree(ctx.body());
    if (!(change instanceof ObjectNode fields)) {
      ctx.status(400);
      return;
    }
    merged.setAll(fields);
    server.setFaults(MAPPER.treeToValue(merged, StoreFaults.class));
    StoreServer.sendJson(ctx, server.faults());
  }

  private void replaceInstances(Context ctx) throws JsonProcessingException {
    List<StoreInstance> instances = MAPPER.readValue(ctx.body(), new TypeReference<>() {});
    server.replaceInstances(instances);
  }

  private void restore(Context ctx) {
    StoreServer.Backup latest = backup.get();
    if (latest == null) {
      ctx.status(409);
      return;
    }
    server.restore(latest, "true".equals(ctx.queryParam("newIdentity")));
  }
}
