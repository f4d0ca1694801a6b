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

/** HTTP client for the admin ports of gateways. */
final class AdminClient implements AutoCloseable {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
  private static final byte[] NO_BODY = {};

  private final ObjectMapper mapper = new ObjectMapper();
  private final OkHttpClient client =
      new OkHttpClient.Builder().callTimeout(CALL_TIMEOUT).followRedirects(false).build();

  /** Result of a request to an admin port. */
  sealed interface Result {
    /** The gateway responded; the body is a missing node if the response had none. */
    record Success(JsonNode body) implements Result {}

    /** The gateway responded with status 404. */
    record NotFound() implements Result {}

    /** There was no usable response. */
    record Failure(String reason) implements Result {}
  }

  Result get(HostPort address, String... path) {
    return send(new Request.Builder().url(url(address, path)).build());
  }

  Result post(HostPort address, String... path) {
    Request.Builder request = new Request.Builder().url(url(address, path));
    return send(request.post(RequestBody.create(NO_BODY)).build());
  }

  private Result send(Request request) {
    try (Response response = client.newCall(request).execute()) {
      if (response.code() == 404) {
        return new Result.NotFound();
      }
      if (!response.isSuccessful()) {
        return new Result.Failure("status " + response.code());
      }
      byte[] bytes = response.body().bytes();
      JsonNode body = bytes.length == 0 ? MissingNode.getInstance() : mapper.readTree(bytes);
      return new Result.Success(body);
    } catch (IOException e) {
      return new Result.Failure("no response: " + e.getMessage());
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
