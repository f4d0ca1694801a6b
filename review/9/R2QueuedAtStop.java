package r2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send two requests on one connection without waiting in between. The gateway that has read
 * both gets SIGTERM while the first one runs.
 */
final class R2QueuedAtStop {
  private static final String HOST = "shop.example";
  private static final int CLIENTS = 10;
  private static final long WORK_MS = 800;
  private static final long LOSS_SLACK_MS = 200;

  public static void main(String[] arguments) throws Exception {
    boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    int exit = 2;
    try (R2Lab lab = new R2Lab(R2Lab.folder(arguments))) {
      exit = run(lab, hasTrouble);
    } catch (IOException e) {
      System.out.println("could not run: " + e);
    }
    System.exit(exit);
  }

  private static int run(R2Lab lab, boolean hasTrouble) throws Exception {
    R2Lab.Work work =
        (upstream, request, client) -> {
          lab.record.line(
              "%s runs %s", upstream.id, request.header("Cowslipstair-Request-Id"));
          R2Lab.sleep(WORK_MS);
          upstream.ok(client, request, "done".getBytes(StandardCharsets.US_ASCII));
          return true;
        };
    for (int i = 0; i < 10; i++) {
      lab.new Upstream("i-orders-" + i, "orders", "zone-a", 3, work);
    }
    lab.store.put(
        "config",
        "main",
        R2Lab.config(
            7,
            HOST,
            List.of("orders"),
            List.of(R2Lab.route("r-orders", "/orders/", "unsafe", "orders", 4000, 2000))));
    List<String> seeds = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      R2Lab.Gateway gateway = lab.new Gateway("front-" + i, "zone-a", seeds, Map.of());
      seeds.add(gateway.control());
    }
    for (R2Lab.Gateway gateway : lab.gateways) {
      gateway.start();
    }
    for (R2Lab.Gateway gateway : lab.gateways) {
      if (!gateway.awaitReady(20_000)) {
        System.out.println("a gateway did not start");
        return 2;
      }
    }
    R2Lab.sleep(4_000);
    AtomicInteger answered = new AtomicInteger();
    AtomicInteger lost = new AtomicInteger();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      clients.add(
          Thread.ofVirtual().start(() -> sendTwo(lab, lab.gateways.getFirst(), answered, lost)));
    }
    R2Lab.sleep(400);
    if (hasTrouble) {
      lab.gateways.getFirst().signal("TERM");
    }
    for (Thread client : clients) {
      client.join();
    }
    String result =
        String.format(
            "requests answered %d of %d, ended without an answer over %d ms after they were sent %d",
            answered.get(), 2 * CLIENTS, LOSS_SLACK_MS, lost.get());
    lab.record.line("%s", result);
    System.out.println(result);
    return answered.get() == 0 ? 2 : lost.get() > 0 ? 1 : 0;
  }

  private static void sendTwo(
      R2Lab lab, R2Lab.Gateway gateway, AtomicInteger answered, AtomicInteger lost) {
    List<String> ids = new ArrayList<>(List.of(R2Lab.id(), R2Lab.id()));
    long sentMs = 0;
    try (Socket socket = new Socket(R2Lab.loopback(), gateway.callerPort)) {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(5_000);
      StringBuilder both = new StringBuilder();
      for (String id : ids) {
        both.append("POST /orders/x HTTP/1.1\r\nHost: " + HOST + "\r\nContent-Length: 5\r\n");
        both.append("Cowslipstair-Deadline-Ms: 4000\r\n");
        both.append("Cowslipstair-Request-Id: " + id + "\r\n\r\nten=1");
      }
      socket.getOutputStream().write(both.toString().getBytes(StandardCharsets.US_ASCII));
      sentMs = R2Lab.nowMs();
      lab.record.line("client sends %s to %s", ids, gateway.name);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      while (!ids.isEmpty()) {
        R2Lab.Message answer = R2Lab.answer(in);
        lab.record.line(
            "client gets %s %s, connection: %s",
            ids.getFirst(), answer.first, answer.header("connection"));
        ids.removeFirst();
        answered.incrementAndGet();
      }
    } catch (IOException e) {
      long afterMs = R2Lab.nowMs() - sentMs;
      lab.record.line("client gets %s, %d ms after it sent %s", e.getMessage(), afterMs, ids);
      lost.addAndGet(sentMs > 0 && afterMs > LOSS_SLACK_MS ? ids.size() : 0);
    }
  }
}
