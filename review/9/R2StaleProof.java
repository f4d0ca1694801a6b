package r2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Connections to the store on which a watch waits go silent; later a config moves a route. */
final class R2StaleProof {
  private static final String HOST = "shop.example";
  private static final long STALE_READ_MS = 3_000;
  private static final long CONFIG_APPLY_MS = 2_000;

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
    AtomicLong ackMs = new AtomicLong(Long.MAX_VALUE);
    AtomicInteger late = new AtomicInteger();
    AtomicInteger byNew = new AtomicInteger();
    AtomicLong lastLateMs = new AtomicLong();
    Map<String, Long> sentMs = new ConcurrentHashMap<>();
    R2Lab.Work work =
        (upstream, request, client) -> {
          String id = request.header(R2Wire.REQUEST_ID);
          long afterAckMs = sentMs.get(id) - ackMs.get();
          boolean isLate = upstream.service.equals("old") && afterAckMs > CONFIG_APPLY_MS;
          late.addAndGet(isLate ? 1 : 0);
          byNew.addAndGet(upstream.service.equals("new") ? 1 : 0);
          if (isLate) {
            lastLateMs.accumulateAndGet(afterAckMs, Math::max);
          }
          lab.record.line(
              "%s of service %s runs %s%s",
              upstream.id,
              upstream.service,
              id,
              isLate ? " SENT " + afterAckMs + " ms AFTER THE ACK" : "");
          R2Lab.sleep(20);
          upstream.ok(client, request, upstream.service.getBytes(StandardCharsets.US_ASCII));
          return true;
        };
    for (int i = 0; i < 3; i++) {
      lab.new Upstream("i-old-" + i, "old", "zone-a", 3, work);
      lab.new Upstream("i-new-" + i, "new", "zone-a", 3, work);
    }
    lab.store.staleMs = STALE_READ_MS;
    putConfig(lab, 7, "old");
    R2Lab.sleep(STALE_READ_MS);
    R2Lab.Proxy proxy = new R2Lab.Proxy(lab.store.address());
    List<String> seeds = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      R2Lab.Gateway gateway =
          lab.new Gateway(
              "front-" + i, "zone-a", seeds, Map.of("platform.address", proxy.address()));
      if (seeds.size() < 3) {
        seeds.add(gateway.control());
      }
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
    R2Lab.sleep(9_000);
    long endMs = R2Lab.nowMs() + 18_000;
    Thread clients = Thread.ofPlatform().start(() -> sendRequests(lab, sentMs, endMs));
    R2Lab.sleep(1_000);
    if (hasTrouble) {
      int count = proxy.silence(1_000);
      lab.record.line("%d connections to the store go silent", count);
    }
    R2Lab.sleep(6_000);
    putConfig(lab, 12, "new");
    ackMs.set(R2Lab.nowMs());
    lab.record.line("the store has acknowledged the config r12");
    clients.join();
    R2Lab.sleep(1_500);
    String result =
        String.format(
            "sent %d, run by the new service %d, sent over %d ms after the ack and run by the old"
                + " service %d, the last %d ms after the ack",
            sentMs.size(), byNew.get(), CONFIG_APPLY_MS, late.get(), lastLateMs.get());
    lab.record.line("%s", result);
    System.out.println(result);
    return sentMs.isEmpty() ? 2 : late.get() > 0 ? 1 : 0;
  }

  private static void putConfig(R2Lab lab, int version, String service) {
    lab.store.put(
        "config",
        "main",
        R2Lab.config(
            version,
            HOST,
            List.of("old", "new"),
            List.of(R2Lab.route("r-1", "/view/", "safe", service, 2500, 300))));
  }

  private static void sendRequests(R2Lab lab, Map<String, Long> sentMs, long endMs) {
    int count = 0;
    while (R2Lab.nowMs() < endMs) {
      R2Lab.Gateway gateway = lab.gateways.get(count % lab.gateways.size());
      count++;
      Thread.ofVirtual().start(() -> send(lab, sentMs, gateway));
      R2Lab.sleep(50);
    }
  }

  private static void send(R2Lab lab, Map<String, Long> sentMs, R2Lab.Gateway gateway) {
    String id = R2Lab.id();
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(R2Lab.loopback(), gateway.callerPort), 1_000);
      socket.setSoTimeout(3_000);
      String head =
          "GET /view/x HTTP/1.1\r\nHost: "
              + HOST
              + "\r\n" + R2Wire.REQUEST_ID + ": "
              + id
              + "\r\n" + R2Wire.DEADLINE + ": 2500\r\n\r\n";
      sentMs.put(id, R2Lab.nowMs());
      lab.record.line("client sends %s to %s", id, gateway.name);
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      R2Lab.Message answer = R2Lab.answer(new BufferedInputStream(socket.getInputStream()));
      lab.record.line(
          "client gets %s %s %s",
          id, answer.first, new String(answer.body, StandardCharsets.US_ASCII));
    } catch (IOException e) {
      lab.record.line("client gets %s %s", id, e.getMessage());
    }
  }
}
