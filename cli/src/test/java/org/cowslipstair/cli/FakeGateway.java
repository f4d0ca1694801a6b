package org.cowslipstair.cli;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import org.cowslipstair.standins.store.StoreInstance;
import org.cowslipstair.standins.store.StoreServer;

/** Admin port that reports a configurable revision as in force. */
final class FakeGateway implements AutoCloseable {
  private final String name;
  private final HttpServer server;
  private final AtomicBoolean isRefusingStore = new AtomicBoolean();
  private final List<String> postedPaths = Collections.synchronizedList(new ArrayList<>());

  FakeGateway(String name, StoreServer store, LongSupplier revision) throws IOException {
    this.name = name;
    this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext(
        "/state",
        exchange -> {
          String state =
              "{\"name\":\"%s\",\"config\":{\"storeId\":\"%s\",\"revision\":%d,\"status\":%s}}"
                  .formatted(name, store.storeId(), revision.getAsLong(), status());
          respond(exchange, 200, state);
        });
    server.createContext(
        "/explain/r1", exchange -> respond(exchange, 200, "{\"backend\":\"watch-1\"}"));
    server.createContext(
        "/store/accept/",
        exchange -> {
          postedPaths.add(exchange.getRequestURI().getPath());
          isRefusingStore.set(false);
          respond(exchange, 202, "");
        });
    server.start();
    store.putInstance(instance(false));
  }

  StoreInstance instance(boolean leaving) {
    String admin = "127.0.0.1:" + server.getAddress().getPort();
    return new StoreInstance(name, "tz-north-a", "127.0.0.1:1", admin, leaving);
  }

  /** Reports the store as refused until a request accepts it. */
  void refuseStore() {
    isRefusingStore.set(true);
  }

  private String status() {
    return isRefusingStore.get()
        ? "{\"refusedStore\":{\"storeId\":\"s\",\"revision\":1,\"reason\":\"OLDER_REVISION\"}}"
        : "{}";
  }

  List<String> postedPaths() {
    return List.copyOf(postedPaths);
  }

  private static void respond(HttpExchange exchange, int status, String body) throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
