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
import org.cowslipstair.standins.store.StoreState.WriteResult;
import org.eclipse.jetty.ee10.servlet.ServletContextRequest;

/** Stand-in for the platform's object store over HTTP, with faults on command. */
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

  /** Starts a store on the loopback address; port 0 takes any free port. */
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

  /** Writes an object directly, whatever its version; returns its new version. */
  public long write(String kind, String name, String json) {
    try {
      return state.write(kind, name, MAPPER.readTree(json), "direct").version();
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("body of %s/%s is not JSON".formatted(kind, name), e);
    }
  }

  /** Returns an object. */
  public Optional<StoreObject> read(String kind, String name) {
    return state.get(kind, name);
  }

  /** Returns the revision of the store. */
  public long revision() {
    return state.copy().revision();
  }

  /** Returns the identity of this life of the store. */
  public String storeId() {
    return state.copy().storeId();
  }

  /** Adds or replaces an entry of the list of instances. */
  public void putInstance(StoreInstance instance) {
    instances.put(instance, System.nanoTime());
  }

  /** Removes an entry of the list of instances. */
  public void removeInstance(String name) {
    instances.remove(name, System.nanoTime());
  }

  /** Replaces the list of instances. */
  public void replaceInstances(List<StoreInstance> newInstances) {
    instances.replaceAll(newInstances, System.nanoTime());
  }

  /** Returns the faults in force. */
  public StoreFaults faults() {
    return faults.get();
  }

  /** Sets the faults. */
  public void setFaults(StoreFaults newFaults) {
    faults.set(newFaults);
    state.wakeWatches();
  }

  /** Returns the counts of calls. */
  public StoreCalls calls() {
    return calls;
  }

  /** Takes a backup for {@link #restore}. */
  public Backup backup() {
    return new Backup(state.copy());
  }

  /**
   * Falls back to a backup: writes since then are lost and revisions are given out again.
   *
   * @param newIdentity whether the store tells so by a new storeId
   */
  public void restore(Backup backup, boolean newIdentity) {
    state.restore(backup.copy, newIdentity);
  }

  /** State of the store at one moment. */
  public static final class Backup {
    private final StoreState.Batch copy;

    private Backup(StoreState.Batch copy) {
      this.copy = copy;
    }

    /** Returns the revision that the backup holds. */
    public long revision() {
      return copy.revision();
    }

    /** Returns the identity that the store had. */
    public String storeId() {
      return copy.storeId();
    }
  }

  @Override
  public void close() {
    javalin.stop();
  }

  private void addObjectRoutes(RoutesConfig routes) {
    routes.get("/v1/objects", faulty(StoreCalls.Kind.LIST, this::list));
    routes.get("/v1/objects/{kind}/{name}", faulty(StoreCalls.Kind.GET, this::get));
    routes.put("/v1/objects/{kind}/{name}", faulty(StoreCalls.Kind.PUT, this::put));
    routes.delete("/v1/objects/{kind}/{name}", faulty(StoreCalls.Kind.DELETE, this::delete));
    routes.get("/v1/watch", faulty(StoreCalls.Kind.WATCH, this::watch));
    routes.get("/v1/instances", faulty(StoreCalls.Kind.INSTANCES, this::listInstances));
  }

  private Handler faulty(StoreCalls.Kind kind, Handler handler) {
    return ctx -> {
      calls.add(kind);
      StoreFaults now = faults.get();
      if (now.delayMs() > 0) {
        TimeUnit.MILLISECONDS.sleep(now.delayMs());
      }
      if (now.down()) {
        ctx.status(503);
        return;
      }
      handler.handle(ctx);
      boolean isWrite = kind == StoreCalls.Kind.PUT || kind == StoreCalls.Kind.DELETE;
      if (isWrite && losesAnswer(now)) {
        closeConnection(ctx);
      }
    };
  }

  private static boolean losesAnswer(StoreFaults now) {
    return now.loseWriteAnswers() && ThreadLocalRandom.current().nextInt(100) < now.losePercent();
  }

  private static void closeConnection(Context ctx) {
    ServletContextRequest.getServletContextRequest(ctx.req())
        .getConnectionMetaData()
        .getConnection()
        .getEndPoint()
        .close();
  }

  private void list(Context ctx) throws JsonProcessingException {
    json(ctx, state.list(kinds(ctx)));
  }

  private void get(Context ctx) throws JsonProcessingException {
    Optional<StoreObject> found = state.get(ctx.pathParam("kind"), ctx.pathParam("name"));
    if (found.isEmpty()) {
      ctx.status(404);
      return;
    }
    json(ctx, found.get());
  }

  private void put(Context ctx) throws JsonProcessingException {
    byte[] bytes = ctx.bodyAsBytes();
    if (bytes.length > MAX_VALUE_BYTES) {
      ctx.status(413);
      return;
    }
    Optional<Long> ifVersion = number(ctx, "ifVersion");
    Optional<JsonNode> body = object(bytes);
    if (ifVersion.isEmpty() || body.isEmpty()) {
      ctx.status(400);
      return;
    }
    answer(
        ctx,
        state.put(
            ctx.pathParam("kind"),
            ctx.pathParam("name"),
            body.get(),
            ifVersion.get(),
            changeId(ctx)));
  }

  private void delete(Context ctx) throws JsonProcessingException {
    Optional<Long> ifVersion = number(ctx, "ifVersion");
    if (ifVersion.isEmpty()) {
      ctx.status(400);
      return;
    }
    answer(
        ctx,
        state.delete(ctx.pathParam("kind"), ctx.pathParam("name"), ifVersion.get(), changeId(ctx)));
  }

  private static void answer(Context ctx, WriteResult result) throws JsonProcessingException {
    switch (result) {
      case WriteResult.Written(StoreObject object) when object.deleted() -> ctx.status(204);
      case WriteResult.Written(StoreObject object) -> json(ctx, object);
      case WriteResult.Conflict(Optional<StoreObject> current) -> {
        ctx.status(409);
        json(ctx, current.map(c -> Map.of("current", c)).orElse(Map.of()));
      }
      case WriteResult.Missing() -> ctx.status(404);
    }
  }

  private void watch(Context ctx) throws InterruptedException, JsonProcessingException {
    Optional<Long> after = number(ctx, "after");
    Optional<Long> timeoutMs = number(ctx, "timeoutMs");
    if (after.isEmpty() || timeoutMs.isEmpty()) {
      ctx.status(400);
      return;
    }
    calls.watchBegan();
    try {
      Optional<StoreState.Batch> batch =
          state.watch(kinds(ctx), after.get(), timeoutMs.get(), () -> faults.get().watchStuck());
      if (batch.isEmpty()) {
        ctx.status(410);
      } else if (faults.get().down()) {
        ctx.status(503);
      } else {
        json(ctx, batch.get());
      }
    } finally {
      calls.watchEnded();
    }
  }

  private void listInstances(Context ctx) throws JsonProcessingException {
    long lagNs = TimeUnit.MILLISECONDS.toNanos(faults.get().instanceLagMs());
    json(ctx, Map.of("instances", instances.at(System.nanoTime() - lagNs)));
  }

  static void json(Context ctx, Object value) throws JsonProcessingException {
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

  private static Optional<Long> number(Context ctx, String parameter) {
    String text = ctx.queryParam(parameter);
    try {
      return text == null ? Optional.empty() : Optional.of(Long.parseLong(text));
    } catch (NumberFormatException ignored) {
      return Optional.empty();
    }
  }

  private static Optional<JsonNode> object(byte[] bytes) {
    try {
      JsonNode node = MAPPER.readTree(bytes);
      return node != null && node.isObject() ? Optional.of(node) : Optional.empty();
    } catch (IOException ignored) {
      return Optional.empty();
    }
  }
}
