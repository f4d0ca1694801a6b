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

  private HttpResponse<String> send(String method, String path, String body)
      throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + server.address() + path))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build();
    return client.send(request, HttpResponse.BodyHandlers.ofString());
  }

  @Test
  void onlyFaultsInBodyChangeAndControlEndpointsStayAvailable() throws Exception {
    server.setFaults(StoreFaults.none().withInstanceLagMs(7));

    assertThat(send("POST", "/-/faults", "{\"down\":true}").statusCode(), is(200));

    assertThat(server.faults(), is(StoreFaults.none().withInstanceLagMs(7).withDown(true)));
    assertThat(send("GET", "/v1/objects?kinds=zone", "").statusCode(), is(503));
    assertThat(send("GET", "/-/calls", "").body(), containsString("\"list\":1"));
    assertThat(send("POST", "/-/faults", "{\"down\":false}").statusCode(), is(200));
    assertThat(send("GET", "/v1/objects?kinds=zone", "").statusCode(), is(200));
  }

  @Test
  void restoreReturnsToBackup() throws Exception {
    assertThat(send("POST", "/-/restore", "").statusCode(), is(409));
    server.write("zone", "kept", "{}");
    send("POST", "/-/backup", "");
    server.write("zone", "lost", "{}");
    String storeId = server.storeId();

    send("POST", "/-/restore", "");
    assertThat(server.read("zone", "lost").isPresent(), is(false));
    assertThat(server.read("zone", "kept").isPresent(), is(true));
    assertThat(server.revision(), is(1L));
    assertThat(server.storeId(), is(storeId));
    send("POST", "/-/restore?newIdentity=true", "");
    assertThat(server.storeId(), is(not(storeId)));
  }

  @Test
  void rejectsInvalidWrites() throws Exception {
    String path = "/v1/objects/zone/a?changeId=c";
    assertThat(send("PUT", path, "{}").statusCode(), is(400));
    assertThat(send("PUT", path + "&ifVersion=x", "{}").statusCode(), is(400));
    assertThat(send("PUT", path + "&ifVersion=0", "[]").statusCode(), is(400));
    String oversizedBody = "{\"a\":\"" + "x".repeat(1 << 20) + "\"}";
    assertThat(send("PUT", path + "&ifVersion=0", oversizedBody).statusCode(), is(413));
    assertThat(send("DELETE", path + "&ifVersion=0", "").statusCode(), is(404));
    assertThat(server.revision(), is(0L));
  }

  @Test
  void controlEndpointReplacesInstances() throws Exception {
    String list =
        "[{\"name\":\"gw-1\",\"zone\":\"a\",\"peerAddress\":\"h:1\",\"adminAddress\":\"h:2\","
            + "\"leaving\":true}]";
    send("PUT", "/-/instances", list);

    assertThat(send("GET", "/v1/instances", "").body(), is("{\"instances\":" + list + "}"));
  }
}
