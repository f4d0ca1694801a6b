package review.lab;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in of the platform's metadata store, as PROTOCOL.md describes it. Each machine reaches it
 * through a port of its own, so that the store can be silent towards single machines.
 */
public final class Store {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final Record record;
  private final Map<String, TreeMap<String, ObjectNode>> objects = new HashMap<>();
  private final List<Event> events = new ArrayList<>();
  private long revision = 100;

  private record Event(long revision, String kind, ObjectNode object, boolean deleted) {}

  public Store(Record record) {
    this.record = record;
  }

  /** Creates or replaces an object, as its writer does; returning is the ack. */
  public synchronized long put(String kind, String name, JsonNode spec) {
    revision++;
    ObjectNode object = JSON.createObjectNode();
    object.putObject("metadata").put("name", name).put("revision", revision);
    object.set("spec", spec);
    objects.computeIfAbsent(kind, _ -> new TreeMap<>()).put(name, object);
    events.add(new Event(revision, kind, object, false));
    notifyAll();
    return revision;
  }

  /** Removes an object. */
  public synchronized void delete(String kind, String name) {
    ObjectNode object = objects.getOrDefault(kind, new TreeMap<>()).remove(name);
    if (object != null) {
      revision++;
      events.add(new Event(revision, kind, object, true));
      notifyAll();
    }
  }

  /** Returns the number of objects of a kind. */
  public synchronized int count(String kind) {
    return objects.getOrDefault(kind, new TreeMap<>()).size();
  }

  /** Opens the port through which one machine reaches the store. */
  public Link open(String machine) throws IOException {
    Link link = new Link(machine, new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1")));
    Thread.ofVirtual().start(link::accept);
    return link;
  }

  /** The store as one machine reaches it. */
  public final class Link {
    private final String machine;
    private final ServerSocket server;
    private volatile boolean silent;

    private Link(String machine, ServerSocket server) {
      this.machine = machine;
      this.server = server;
    }

    /** Returns the port. */
    public int port() {
      return server.getLocalPort();
    }

    /**
     * Starts or ends the silence towards this machine. What would be answered during it is lost, and
     * a connection on which a response is lost returns nothing further.
     */
    public void setSilent(boolean isSilent) {
      silent = isSilent;
      record.line("store: %s towards %s", isSilent ? "silent" : "answers again", machine);
    }

    private void accept() {
      while (true) {
        try {
          Socket socket = server.accept();
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
        boolean isLost = false;
        while (true) {
          Http.Message request = Http.read(in);
          if (request == null) {
            return;
          }
          Reply reply = isLost || silent ? null : answer(request);
          if (reply == null || silent) {
            if (!isLost) {
              record.line("store: response lost to %s: %s", machine, request.firstLine());
            }
            isLost = true;
            continue;
          }
          Http.write(
              out,
              "HTTP/1.1 " + reply.status() + " x",
              Map.of("Content-Type", "application/json"),
              reply.json().toString().getBytes(StandardCharsets.UTF_8));
        }
      } catch (IOException | InterruptedException e) {
        // The machine has closed the connection.
      }
    }
  }

  private record Reply(int status, ObjectNode json) {}

  private Reply answer(Http.Message request) throws IOException, InterruptedException {
    String[] target = request.target().split("\\?", 2);
    String[] path = target[0].split("/");
    Map<String, String> query = new HashMap<>();
    for (String pair : target.length > 1 ? target[1].split("&") : new String[0]) {
      query.put(pair.split("=")[0], pair.contains("=") ? pair.split("=")[1] : "");
    }
    if (request.method().equals("GET") && query.containsKey("watch")) {
      return watch(path[2], Long.parseLong(query.get("watch")), Long.parseLong(query.get("waitMs")));
    }
    if (request.method().equals("GET")) {
      return list(path[2]);
    }
    return write(request, path[2]);
  }

  private synchronized Reply list(String kind) {
    ObjectNode page = JSON.createObjectNode();
    ArrayNode items = page.putArray("items");
    objects.getOrDefault(kind, new TreeMap<>()).values().forEach(items::add);
    page.put("hasMore", false).put(Wire.STORE_REVISION, revision);
    return new Reply(200, page);
  }

  private synchronized Reply watch(String kind, long after, long waitMs) throws InterruptedException {
    long endNs = System.nanoTime() + waitMs * 1_000_000;
    while (true) {
      ObjectNode answer = JSON.createObjectNode();
      ArrayNode found = answer.putArray("events");
      for (Event event : events) {
        if (event.revision > after && event.kind.equals(kind)) {
          ObjectNode node = found.addObject().put("deleted", event.deleted);
          node.set("object", event.object);
        }
      }
      long leftMs = (endNs - System.nanoTime()) / 1_000_000;
      if (!found.isEmpty() || leftMs <= 0) {
        answer.put(Wire.STORE_REVISION, revision);
        return new Reply(200, answer);
      }
      wait(leftMs);
    }
  }

  private synchronized Reply write(Http.Message request, String kind) throws IOException {
    ObjectNode object = (ObjectNode) JSON.readTree(request.body());
    String name = object.path("metadata").path("name").asText();
    ObjectNode existing = objects.getOrDefault(kind, new TreeMap<>()).get(name);
    if (request.method().equals("POST") && existing != null) {
      return new Reply(409, existing);
    }
    put(kind, name, object.path("spec"));
    return new Reply(request.method().equals("POST") ? 201 : 200, object);
  }
}
