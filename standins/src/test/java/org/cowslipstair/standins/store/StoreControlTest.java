package org.cowslipstair.standins.store;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class StoreControlTest {
  private final StoreServer server = StoreServer.start(0);
  private final HttpClient client = HttpClient.newHttpClient();

  @AfterEach
  void stop() {
    client.close();
    server.close();
  }

  private HttpResponse<String> call(String method, String path, String body)
      throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + server.address() + path))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build();
    return client.send(request, HttpResponse.BodyHandlers.ofString());
  }

  @Test
  void faultsChangeOnlyWhereNamedAndDoNotHitTheControl() throws Exception {
    server.setFaults(StoreFaults.none().withInstanceLagMs(7));

    assertThat(call("POST", "/-/faults", "{\"down\":true}").statusCode(), is(200));

    assertThat(server.faults(), is(StoreFaults.none().withInstanceLagMs(7).withDown(true)));
    assertThat(call("GET", "/v1/objects?kinds=zone", "").statusCode(), is(503));
    assertThat(call("GET", "/-/calls", "").body(), containsString("\"list\":1"));
    assertThat(call("POST", "/-/faults", "{\"down\":false}").statusCode(), is(200));
    assertThat(call("GET", "/v1/objects?kinds=zone", "").statusCode(), is(200));
  }

  @Test
  void restoreFallsBackToTheBackup() throws Exception {
    assertThat(call("POST", "/-/restore", "").statusCode(), is(409));
    server.write("zone", "kept", "{}");
    call("POST", "/-/backup", "");
    server.write("zone", "lost", "{}");
    String storeId = server.storeId();

    call("POST", "/-/restore", "");
    assertThat(server.read("zone", "lost").isPresent(), is(false));
    assertThat(server.read("zone", "kept").isPresent(), is(true));
    assertThat(server.revision(), is(1L));
    assertThat(server.storeId(), is(storeId));
    call("POST", "/-/restore?newIdentity=true", "");
    assertThat(server.storeId(), is(not(storeId)));
  }

  @Test
  void refusesBadWrites() throws Exception {
    String path = "/v1/objects/zone/a?changeId=c";
    assertThat(call("PUT", path, "{}").statusCode(), is(400));
    assertThat(call("PUT", path + "&ifVersion=x", "{}").statusCode(), is(400));
    assertThat(call("PUT", path + "&ifVersion=0", "[]").statusCode(), is(400));
    String large = "{\"a\":\"" + "x".repeat(1 << 20) + "\"}";
    assertThat(call("PUT", path + "&ifVersion=0", large).statusCode(), is(413));
    assertThat(call("DELETE", path + "&ifVersion=0", "").statusCode(), is(404));
    assertThat(server.revision(), is(0L));
  }

  @Test
  void instancesAreReplacedOverTheControl() throws Exception {
    String list =
        "[{\"name\":\"gw-1\",\"zone\":\"a\",\"peerAddress\":\"h:1\",\"adminAddress\":\"h:2\","
            + "\"leaving\":true}]";
    call("PUT", "/-/instances", list);

    assertThat(call("GET", "/v1/instances", "").body(), is("{\"instances\":" + list + "}"));
  }
}
