package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import review.lab.Client;
import review.lab.Gateway;
import review.lab.Lab;
import review.lab.Plan;
import review.lab.Store;
import review.lab.Upstream;

/**
 * The store is silent towards one of three machines while the operator moves a route; then it
 * serves all machines again.
 */
public final class SilentWatch {
  private static final long SILENCE_MS = 4_500;
  private static final long CONTACT_MS = 3_000;
  private static final long CONFIG_APPLY_MS = 2_000;
  private static final long SKEW_MAX_MS = 5_000;
  private static final long TRAFFIC_MS = 8_000;

  private SilentWatch() {}

  public static void main(String[] arguments) throws Exception {
    Lab.main(arguments, SilentWatch::run);
  }

  private static int run(Lab lab) throws Exception {
    Map<String, Upstream.Run> runs = new ConcurrentHashMap<>();
    lab.store.put("config", "main", plan("catalogus").version(7));
    List<Gateway> gateways = new ArrayList<>();
    List<Store.Link> links = new ArrayList<>();
    List<String> seeds = new ArrayList<>();
    String[] zones = {"be-west-a", "be-west-b", "be-west-c"};
    for (String zone : zones) {
      gateways.add(lab.gateway("front-" + zone + "-1"));
      links.add(lab.store.open(gateways.getLast().name()));
      seeds.add(gateways.getLast().relayAddress());
    }
    for (int i = 0; i < zones.length; i++) {
      for (String service : List.of("catalogus", "patroonkist")) {
        new Upstream(
            lab.record, lab.store, "i-" + service + i, service, zones[i], 2, 20, 0,
            System.currentTimeMillis(), run -> runs.put(run.id(), run));
      }
    }
    for (int i = 0; i < zones.length; i++) {
      gateways.get(i).writeSettings(zones[i], links.get(i).port(), seeds, true, 6);
      gateways.get(i).start();
    }
    for (Gateway gateway : gateways) {
      if (!gateway.awaitReady(20_000)) {
        return Lab.NOT_RUN;
      }
    }
    Thread.sleep(6_000);
    if (lab.trouble) {
      links.getFirst().setSilent(true);
    }
    Thread.sleep(1_000);
    lab.store.put("config", "main", plan("patroonkist").version(9));
    long ackMs = lab.record.nowMs();
    lab.record.line("operator: r9 moves /view/ from catalogus to patroonkist; acknowledged");
    Thread.sleep(SILENCE_MS - 1_000);
    if (lab.trouble) {
      links.getFirst().setSilent(false);
    }
    long silenceEndMs = lab.record.nowMs();
    long fromMs = Math.max(ackMs + CONFIG_APPLY_MS + SKEW_MAX_MS, silenceEndMs + CONTACT_MS);
    Thread.sleep(fromMs - lab.record.nowMs());
    lab.record.line("all machines are in touch, and the bound has passed");
    int answered = 0;
    int byOldService = 0;
    while (lab.record.nowMs() < fromMs + TRAFFIC_MS) {
      for (Gateway gateway : gateways) {
        Client.Result result =
            lab.client.send(gateway, "GET", Plan.HOST, "/view/" + answered, new byte[0], 3_000);
        Upstream.Run run = runs.get(result.id());
        answered += result.status() == 200 ? 1 : 0;
        boolean isOld = run != null && run.service().equals("catalogus");
        if (isOld) {
          byOldService++;
          lab.record.line(
              "BROKEN: %s was run by the old service, %d ms after the ack", result.id(), run.atMs() - ackMs);
        }
      }
      Thread.sleep(200);
    }
    lab.record.line("%d answered, %d of them run by the old service", answered, byOldService);
    if (answered == 0) {
      return Lab.NOT_RUN;
    }
    return byOldService > 0 ? Lab.BROKEN : Lab.HELD;
  }

  private static Plan plan(String service) {
    return new Plan()
        .route("/view/", "safe", service, 1_500, 400)
        .route("/order/", "unsafe", "catalogus", 2_000, 500)
        .route("/fetch/", "safe", "patroonkist", 6_000, 1_500);
  }
}
