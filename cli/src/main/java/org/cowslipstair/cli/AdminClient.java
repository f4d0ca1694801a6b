package org.cowslipstair.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.time.Duration;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.cowslipstair.model.config.HostPort;

/** Calls the admin ports of gateways. */
final class AdminClient implements AutoCloseable {
  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final byte[] NO_BODY = {};

  private final ObjectMapper mapper = new ObjectMapper();
  private final OkHttpClient client =
      new OkHttpClient.Builder().callTimeout(TIMEOUT).followRedirects(false).build();

  /** Answer of an admin port. */
  sealed interface Answer {
    /** The gateway answered. */
    record Found(JsonNode body) implements Answer {}

    /** The gateway has no such thing. */
    record Missing() implements Answer {}

    /** No usable answer. */
    record Failed(String reason) implements Answer {}
  }

  Answer get(HostPort address, String... path) {
    return call(new Request.Builder().url(url(address, path)).build());
  }

  Answer post(HostPort address, String... path) {
    Request.Builder request = new Request.Builder().url(url(address, path));
    return call(request.post(RequestBody.create(NO_BODY)).build());
  }

  private Answer call(Request request) {
    try (Response response = client.newCall(request).execute()) {
      if (response.code() == 404) {
        return new Answer.Missing();
      }
      if (!response.isSuccessful()) {
        return new Answer.Failed("status " + response.code());
      }
      byte[] bytes = response.body().bytes();
      JsonNode body = bytes.length == 0 ? MissingNode.getInstance() : mapper.readTree(bytes);
      return new Answer.Found(body);
    } catch (IOException e) {
      return new Answer.Failed("no answer: " + e.getMessage());
    }
  }

  private static HttpUrl url(HostPort address, String... path) {
    HttpUrl.Builder url =
        new HttpUrl.Builder().scheme("http").host(address.host()).port(address.port());
    for (String segment : path) {
      url.addPathSegment(segment);
    }
    return url.build();
  }

  @Override
  public void close() {
    client.connectionPool().evictAll();
  }
}
