package org.cowslipstair.standins.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.javalin.Javalin;
import io.javalin.config.RoutesConfig;
import io.javalin.http.Context;
import io.javalin.http.Handler;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.cowslipstair.standins.store.StoreState.ExpectedVersion;
import org.cowslipstair.standins.store.StoreState.WriteResult;
import org.eclipse.jetty.ee10.servlet.ServletContextRequest;

/** Stand-in for the platform's object store over HTTP, with configurable faults. Thread-safe. */
public final class StoreServer implements AutoCloseable {
  private static final int MAX_VALUE_BYTES = 1 << 20;
  private static final long MAX_REQUEST_BYTES = 2L * MAX_VALUE_BYTES;
  private static final String HOST = "127.0.0.1";
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final StoreState state = new StoreState();
  private final InstanceHistory instances = new InstanceHistory();
  private final StoreCalls calls = new StoreCalls();
  private final AtomicReference<StoreFaults> faults = new AtomicReference<>(StoreFaults.none());
  private final Javalin javalin;

  private StoreServer() {
    javalin =
        Javalin.create(
            config -> {
              config.startup.showJavalinBanner = false;
              config.concurrency.useVirtualThreads = true;
              config.http.maxRequestSize = MAX_REQUEST_BYTES;
              addObjectRoutes(config.routes);
              new StoreControl(this).addRoutes(config.routes);
            });
  }

  /** Starts a store on the loopback address; port 0 selects any free port. */
  public static StoreServer start(int port) {
    StoreServer server = new StoreServer();
    server.javalin.start(HOST, port);
    return server;
  }

  /** Returns the address as {@code host:port}. */
  public String address() {
    return HOST + ":" + javalin.port();
  }

  /** Returns the port. */
  public int port() {
    return javalin.port();
  }

  /** Writes an object regardless of its version and of faults; returns its new version. */
  public long write(String kind, String name, String json) {
    try {
      return state.write(kind, name, MAPPER.readTree(json), "direct").version();
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("body of %s/%s is not JSON".formatted(kind, name), e);
    }
  }

  /** Returns an object; empty if it does not exist. */
  public Optional<StoreObject> read(String kind, String name) {
    return state.get(kind, name);
  }

  /** Returns the revision of the store. */
  public long revision() {
    return state.snapshot().revision();
  }

  /** Returns the current identity of the store. */
  public String storeId() {
    return state.snapshot().storeId();
  }

  /** Adds or replaces an entry of the instance list. */
  public void putInstance(StoreInstance instance) {
    instances.put(instance, System.nanoTime());
  }

  /** Removes an entry of the instance list. */
  public void removeInstance(String name) {
    instances.remove(name, System.nanoTime());
  }

  /** Replaces the instance list. */
  public void replaceInstances(List<StoreInstance> newInstances) {
    instances.replaceAll(newInstances, System.nanoTime());
  }

  /** Returns the current faults. */
  public StoreFaults faults() {
    return faults.get();
  }

  /** Replaces the faults and wakes waiting watches. */
  public void setFaults(StoreFaults newFaults) {
    faults.set(newFaults);
    state.wakeWatches();
  }

  /** Returns the request counts. */
  public StoreCalls calls() {
    return calls;
  }

  /** Creates a backup for {@link #restore}. */
  public Backup backup() {
    return new Backup(state.snapshot());
  }

  /**
   * Restores a backup: later writes are lost and their revisions are assigned again.
   *
   * @param newIdentity whether the store gets a new storeId; otherwise it tells that it has come
   *     back from a copy
   */
  public void restore(Backup backup, boolean newIdentity) {
    state.restore(backup.snapshot, newIdentity);
  }

  /** State of the store at one point in time. */
  public static final class Backup {
    private final StoreState.Batch snapshot;

    private Backup(StoreState.Batch snapshot) {
      this.snapshot = snapshot;
    }

    /** Returns the revision of the backup. */
    public long revision() {
      return snapshot.revision();
    }

    /** Returns the identity of the store at the time of the backup. */
    public String storeId() {
      return snapshot.storeId();
    }
  }

  @Override
  public void close() {
    javalin.stop();
  }

  private void addObjectRoutes(RoutesConfig routes) {
    routes.get("/v1/objects", withFaults(StoreCalls.Kind.LIST, this::list));
    routes.get("/v1/objects/{kind}/{name}", withFaults(StoreCalls.Kind.GET, this::get));
    routes.put("/v1/objects/{kind}/{name}", withFaults(StoreCalls.Kind.PUT, this::put));
    routes.delete("/v1/objects/{kind}/{name}", withFaults(StoreCalls.Kind.DELETE, this::delete));
    routes.get("/v1/watch", withFaults(StoreCalls.Kind.WATCH, this::watch));
    routes.get("/v1/instances", withFaults(StoreCalls.Kind.INSTANCES, this::listInstances));
  }

  private Handler withFaults(StoreCalls.Kind kind, Handler handler) {
    return ctx -> {
      calls.increment(kind);
      StoreFaults current = faults.get();
      if (current.delayMs() > 0) {
        TimeUnit.MILLISECONDS.sleep(current.delayMs());
      }
      if (current.down()) {
        ctx.status(503);
        return;
      }
      handler.handle(ctx);
      boolean isWrite = kind == StoreCalls.Kind.PUT || kind == StoreCalls.Kind.DELETE;
      if (isWrite && shouldDropResponse(current)) {
        closeConnection(ctx);
      }
    };
  }

  private static boolean shouldDropResponse(StoreFaults current) {
    return current.loseWriteAnswers()
        && ThreadLocalRandom.current().nextInt(100) < current.losePercent();
  }

  private static void closeConnection(Context ctx) {
    ServletContextRequest.getServletContextRequest(ctx.req())
        .getConnectionMetaData()
        .getConnection()
        .getEndPoint()
        .close();
  }

  private void list(Context ctx) throws JsonProcessingException {
    sendJson(ctx, state.list(kinds(ctx)));
  }

  private void get(Context ctx) throws JsonProcessingException {
    Optional<StoreObject> found = state.get(ctx.pathParam("kind"), ctx.pathParam("name"));
    if (found.isEmpty()) {
      ctx.status(404);
      return;
    }
    sendJson(ctx, found.get());
  }

  private void put(Context ctx) throws JsonProcessingException {
    byte[] bytes = ctx.bodyAsBytes();
    if (bytes.length > MAX_VALUE_BYTES) {
      ctx.status(413);
      return;
    }
    Optional<Long> ifVersion = longParameter(ctx, "ifVersion");
    Optional<JsonNode> body = parseObject(bytes);
    if (ifVersion.isEmpty() || body.isEmpty()) {
      ctx.status(400);
      return;
    }
    respond(
        ctx,
        state.put(
            ctx.pathParam("kind"),
            ctx.pathParam("name"),
            body.get(),
            new ExpectedVersion(longParameter(ctx, "ifEpoch"), ifVersion.get()),
            changeId(ctx)));
  }

  private void delete(Context ctx) throws JsonProcessingException {
    Optional<Long> ifVersion = longParameter(ctx, "ifVersion");
    if (ifVersion.isEmpty()) {
      ctx.status(400);
      return;
    }
    respond(
        ctx,
        state.delete(
            ctx.pathParam("kind"),
            ctx.pathParam("name"),
            new ExpectedVersion(longParameter(ctx, "ifEpoch"), ifVersion.get()),
            changeId(ctx)));
  }

  private static void respond(Context ctx, WriteResult result) throws JsonProcessingException {
    switch (result) {
      case WriteResult.Written(StoreObject object) when object.deleted() -> ctx.status(204);
      case WriteResult.Written(StoreObject object) -> sendJson(ctx, object);
      case WriteResult.Conflict(Optional<StoreObject> current) -> {
        ctx.status(409);
        sendJson(ctx, current.map(c -> Map.of("current", c)).orElse(Map.of()));
      }
      case WriteResult.NotFound() -> ctx.status(404);
    }
  }

  private void watch(Context ctx) throws InterruptedException, JsonProcessingException {
    Optional<Long> after = longParameter(ctx, "after");
    Optional<Long> timeoutMs = longParameter(ctx, "timeoutMs");
    if (after.isEmpty() || timeoutMs.isEmpty()) {
      ctx.status(400);
      return;
    }
    calls.watchStarted();
    try {
      Optional<StoreState.Batch> batch =
          state.watch(
              kinds(ctx),
              longParameter(ctx, "epoch"),
              after.get(),
              timeoutMs.get(),
              () -> faults.get().watchStuck());
      if (batch.isEmpty()) {
        ctx.status(410);
      } else if (faults.get().down()) {
        ctx.status(503);
      } else {
        sendJson(ctx, batch.get());
      }
    } finally {
      calls.watchFinished();
    }
  }

  private void listInstances(Context ctx) throws JsonProcessingException {
    long lagNs = TimeUnit.MILLISECONDS.toNanos(faults.get().instanceLagMs());
    sendJson(ctx, Map.of("instances", instances.at(System.nanoTime() - lagNs)));
  }

  static void sendJson(Context ctx, Object value) throws JsonProcessingException {
    ctx.contentType("application/json").result(MAPPER.writeValueAsBytes(value));
  }

  private static Set<String> kinds(Context ctx) {
    String kinds = ctx.queryParam("kinds");
    return kinds == null ? Set.of() : Set.copyOf(List.of(kinds.split(",")));
  }

  private static String changeId(Context ctx) {
    String changeId = ctx.queryParam("changeId");
    return changeId == null ? "" : changeId;
  }

  private static Optional<Long> longParameter(Context ctx, String parameter) {
    String text = ctx.queryParam(parameter);
    try {
      return text == null ? Optional.empty() : Optional.of(Long.parseLong(text));
    } catch (NumberFormatException ignored) {
      return Optional.empty();
    }
  }

  private static Optional<JsonNode> parseObject(byte[] bytes) {
    try {
      JsonNode node = MAPPER.readTree(bytes);
      return node != null && node.isObject() ? Optional.of(node) : Optional.empty();
    } catch (IOException ignored) {
      return Optional.empty();
    }
  }
}
