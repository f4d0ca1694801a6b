package review.lab;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/** Stand-in of an upstream, as PROTOCOL.md describes it. */
public final class Upstream {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** A request that this upstream ran. */
  public record Run(String id, String path, String service, String upstream, long atMs) {}

  private final Record record;
  private final Store store;
  private final String id;
  private final String service;
  private final String zone;
  private final int slots;
  private final long workMs;
  private final long bornMs;
  private final ServerSocket server;
  private final Semaphore free;
  private final AtomicInteger running = new AtomicInteger();
  private final AtomicInteger waiting = new AtomicInteger();
  private final Consumer<Run> onRun;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile boolean draining;
  private volatile boolean ended;
  private int sequence;
  private byte[] body = "done".getBytes();

  /** Starts an upstream on a port (0 for any) and lets it register itself. */
  public Upstream(
      Record record,
      Store store,
      String id,
      String service,
      String zone,
      int slots,
      long workMs,
      int port,
      long bornMs,
      Consumer<Run> onRun)
      throws IOException {
    this.record = record;
    this.store = store;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.slots = slots;
    this.workMs = workMs;
    this.bornMs = bornMs;
    this.onRun = onRun;
    this.free = new Semaphore(slots, true);
    this.server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 200);
    Thread.ofVirtual().start(this::accept);
    register();
    record.line("upstream %s of %s starts on port %d, born %d", id, service, server.getLocalPort(), bornMs);
  }

  public int port() {
    return server.getLocalPort();
  }

  public String id() {
    return id;
  }

  /** Sets the body of all answers. */
  public void setBody(byte[] newBody) {
    body = newBody;
  }

  /** Writes the entry; heartbeats that change no more than its count do not change it. */
  private synchronized void register() {
    ObjectNode spec = JSON.createObjectNode();
    spec.put("service", service)
        .put("address", "127.0.0.1:" + server.getLocalPort())
        .put("zone", zone)
        .put("version", "v1")
        .put("slots", slots)
        .put("state", draining ? "draining" : "ready")
        .put(Wire.COLD_LEFT, 0)
        .put("seq", ++sequence)
        .put("born", bornMs);
    store.put("servers", id, spec);
  }

  /** Reports that this upstream is leaving; it serves on. */
  public void drain() {
    draining = true;
    register();
    record.line("upstream %s: the store has accepted that it is draining", id);
  }

  /** Ends at once, as after a crash; its entry stays in the store. */
  public synchronized void crash() throws IOException {
    ended = true;
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
    record.line("upstream %s crashed", id);
  }

  private void accept() {
    while (!ended) {
      try {
        Socket socket = server.accept();
        sockets.add(socket);
        Thread.ofVirtual().start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
        answer(request, out);
      }
    } catch (IOException e) {
      // The caller has closed the connection.
    } finally {
      sockets.remove(socket);
    }
  }

  private void answer(Http.Message request, OutputStream out) throws IOException {
    Map<String, String> headers = new TreeMap<>();
    headers.put(Wire.INSTANCE, id);
    headers.put(Wire.LOAD, running.get() + "," + waiting.get() + "," + slots + ",100");
    if (request.target().equals("/healthz")) {
      Http.write(out, draining ? "HTTP/1.1 503 x" : "HTTP/1.1 200 x", headers, new byte[0]);
      return;
    }
    String requestId = request.header(Wire.REQUEST_ID);
    headers.put(Wire.REQUEST_ID, requestId);
    if (!request.header(Wire.EXPECTED_INSTANCE).equals(id)) {
      Http.write(out, "HTTP/1.1 421 x", headers, new byte[0]);
      return;
    }
    waiting.incrementAndGet();
    free.acquireUninterruptibly();
    waiting.decrementAndGet();
    running.incrementAndGet();
    try {
      Run run = new Run(requestId, request.target(), service, id, record.nowMs());
      record.line("upstream %s of %s runs %s %s", id, service, requestId, request.firstLine());
      onRun.accept(run);
      sleep(workMs);
    } finally {
      running.decrementAndGet();
      free.release();
    }
    headers.put(Wire.SIGNATURE, "proof-" + requestId);
    Http.write(out, "HTTP/1.1 200 OK", headers, body);
  }

  private static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
