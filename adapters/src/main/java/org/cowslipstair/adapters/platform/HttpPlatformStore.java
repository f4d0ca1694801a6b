package org.cowslipstair.adapters.platform;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import okhttp3.Call;
import okhttp3.ConnectionPool;
import okhttp3.EventListener;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.ObjectKind;
import org.cowslipstair.model.config.StoreRevision;
import org.cowslipstair.model.config.StoredObject;
import org.cowslipstair.model.fleet.InstanceEntry;
import org.cowslipstair.port.PlatformStore;
import org.cowslipstair.port.StoreException;

/**
 * Client of the platform's object API over HTTP.
 *
 * <p>Addresses are tried in turn, beginning with the one that last answered. A read moves on after
 * any failure; a write moves on only when the failed address did not take it.
 */
public final class HttpPlatformStore implements PlatformStore, AutoCloseable {
  /** Time after which a call other than a watch is given up. */
  public static final long DEFAULT_TIMEOUT_MS = 2_000;

  /** Maximum length of a body. */
  private static final long MAX_BODY_BYTES = 32L << 20;

  private static final int MIN_STATUS = 200;
  private static final long WATCH_SLACK_MS = 2_000;
  private static final int MAX_IDLE_CONNECTIONS = 4;
  private static final long IDLE_CONNECTION_MS = 15_000;
  private static final MediaType JSON = MediaType.get("application/json; charset=utf-8");

  private final List<HostPort> addresses;
  private final AtomicInteger preferred = new AtomicInteger();
  private final OkHttpClient client;

  /** Creates a client with the default time-out. */
  public HttpPlatformStore(List<HostPort> addresses) {
    this(addresses, DEFAULT_TIMEOUT_MS);
  }

  /** Creates a client. */
  public HttpPlatformStore(List<HostPort> addresses, long timeoutMs) {
    if (addresses.isEmpty()) {
      throw new IllegalArgumentException("the store needs at least one address");
    }
    this.addresses = List.copyOf(addresses);
    Duration timeout = Duration.ofMillis(timeoutMs);
    this.client =
        new OkHttpClient.Builder()
            .protocols(List.of(Protocol.HTTP_1_1))
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .connectTimeout(timeout)
            .readTimeout(Duration.ZERO)
            .writeTimeout(timeout)
            .callTimeout(timeout)
            .connectionPool(
                new ConnectionPool(MAX_IDLE_CONNECTIONS, IDLE_CONNECTION_MS, TimeUnit.MILLISECONDS))
            .eventListener(new SendListener())
            .build();
  }

  /** Marks a call once a byte of it may have reached the store. */
  private static final class SendListener extends EventListener {
    @Override
    public void requestHeadersStart(Call call) {
      SendMark mark = call.request().tag(SendMark.class);
      if (mark != null) {
        mark.sent().set(true);
      }
    }
  }

  private record SendMark(AtomicBoolean sent) {}

  private record Answer(int status, String body) {}

  /** A call, without the address that it is sent to. */
  private record StoreCall(String operation, boolean isWrite, long timeoutMs, Request request) {
    HttpUrl urlAt(HostPort address) {
      return request.url().newBuilder().host(address.host()).port(address.port()).build();
    }
  }

  @Override
  public ObjectBatch list(Set<ObjectKind> kinds) throws StoreException {
    HttpUrl url = url("objects").addQueryParameter("kinds", wireNames(kinds)).build();
    return batch(read("list", url));
  }

  @Override
  public Optional<StoredObject> get(ObjectKey key) throws StoreException {
    String operation = "get " + key;
    Answer answer = exchange(read(operation, url(key).build()));
    if (answer.status() == 404) {
      return Optional.empty();
    }
    requireSuccess(operation, answer);
    return Optional.of(WireJson.object(operation, answer.body()));
  }

  @Override
  public StoredObject put(ObjectKey key, String json, long expectedVersion, String changeId)
      throws StoreException {
    String operation = "put " + key;
    Request.Builder request =
        new Request.Builder()
            .url(conditional(key, expectedVersion, changeId))
            .put(RequestBody.create(json, JSON));
    Answer answer = exchange(write(operation, request));
    requireVersion(operation, key, expectedVersion, answer);
    requireSuccess(operation, answer);
    return WireJson.object(operation, answer.body());
  }

  @Override
  public void delete(ObjectKey key, long expectedVersion, String changeId) throws StoreException {
    String operation = "delete " + key;
    Request.Builder request =
        new Request.Builder().url(conditional(key, expectedVersion, changeId)).delete();
    Answer answer = exchange(write(operation, request));
    if (answer.status() == 404) {
      throw new StoreException.VersionConflict(key, expectedVersion, Optional.empty());
    }
    requireVersion(operation, key, expectedVersion, answer);
    requireSuccess(operation, answer);
  }

  @Override
  public ObjectBatch watch(Set<ObjectKind> kinds, long afterRevision, long timeoutMs)
      throws StoreException {
    HttpUrl url =
        url("watch")
            .addQueryParameter("kinds", wireNames(kinds))
            .addQueryParameter("epoch", Long.toString(StoreRevision.epoch(afterRevision)))
            .addQueryParameter("after", Long.toString(StoreRevision.number(afterRevision)))
            .addQueryParameter("timeoutMs", Long.toString(timeoutMs))
            .build();
    Request request = new Request.Builder().url(url).build();
    StoreCall call = new StoreCall("watch", false, timeoutMs + WATCH_SLACK_MS, request);
    Answer answer = exchange(call);
    if (answer.status() == 410) {
      throw new StoreException.RevisionGone(afterRevision);
    }
    requireSuccess("watch", answer);
    return WireJson.batch("watch", answer.body());
  }

  @Override
  public List<InstanceEntry> instances() throws StoreException {
    String operation = "list of instances";
    Answer answer = exchange(read(operation, url("instances").build()));
    requireSuccess(operation, answer);
    return WireJson.instances(operation, answer.body());
  }

  /** Ends running calls and closes all connections. */
  @Override
  public void close() {
    client.dispatcher().cancelAll();
    client.connectionPool().evictAll();
  }

  private ObjectBatch batch(StoreCall call) throws StoreException {
    Answer answer = exchange(call);
    requireSuccess(call.operation(), answer);
    return WireJson.batch(call.operation(), answer.body());
  }

  private StoreCall read(String operation, HttpUrl url) {
    Request request = new Request.Builder().url(url).build();
    return new StoreCall(operation, false, client.callTimeoutMillis(), request);
  }

  private StoreCall write(String operation, Request.Builder request) {
    return new StoreCall(operation, true, client.callTimeoutMillis(), request.build());
  }

  private Answer exchange(StoreCall call) throws StoreException {
    int first = preferred.get();
    StoreException failure = new StoreException.Unavailable(call.operation(), "no address");
    for (int i = 0; i < addresses.size(); i++) {
      int index = (first + i) % addresses.size();
      try {
        Answer answer = exchangeWith(addresses.get(index), call);
        preferred.set(index);
        return answer;
      } catch (StoreException.Unavailable e) {
        failure = e;
      } catch (StoreException.AnswerLost e) {
        if (call.isWrite()) {
          throw e;
        }
        failure = e;
      }
    }
    throw failure;
  }

  private Answer exchangeWith(HostPort address, StoreCall storeCall) throws StoreException {
    SendMark mark = new SendMark(new AtomicBoolean());
    Request request =
        storeCall
            .request()
            .newBuilder()
            .url(storeCall.urlAt(address))
            .tag(SendMark.class, mark)
            .build();
    Call call = client.newCall(request);
    call.timeout().timeout(storeCall.timeoutMs(), TimeUnit.MILLISECONDS);
    try (Response response = call.execute()) {
      int status = response.code();
      if (status == 503 || status == 429) {
        String cause = "%s answered %d".formatted(address, status);
        throw new StoreException.Unavailable(storeCall.operation(), cause);
      }
      if (status < MIN_STATUS || status >= 500) {
        String cause = "%s answered %d".formatted(address, status);
        throw new StoreException.AnswerLost(storeCall.operation(), cause);
      }
      return new Answer(status, readBody(storeCall.operation(), response));
    } catch (IOException | IllegalStateException e) {
      // OkHttp rejects a status with a sign by an unchecked exception.
      String cause = address + ": " + e;
      if (mark.sent().get()) {
        throw new StoreException.AnswerLost(storeCall.operation(), cause);
      }
      throw new StoreException.Unavailable(storeCall.operation(), cause);
    }
  }

  /** Reads a body, unless it is longer than any that was asked for. */
  private static String readBody(String operation, Response response)
      throws IOException, StoreException.AnswerLost {
    BufferedSource source = response.body().source();
    if (source.request(MAX_BODY_BYTES + 1)) {
      throw new StoreException.AnswerLost(operation, "body is too long");
    }
    return source.readUtf8();
  }

  private static void requireVersion(
      String operation, ObjectKey key, long expectedVersion, Answer answer) throws StoreException {
    if (answer.status() == 409) {
      Optional<StoredObject> current = WireJson.conflict(operation, answer.body());
      throw new StoreException.VersionConflict(key, expectedVersion, current);
    }
  }

  private static void requireSuccess(String operation, Answer answer) throws StoreException {
    if (answer.status() < 200 || answer.status() > 299) {
      throw new StoreException.Malformed(operation, "status " + answer.status());
    }
  }

  private HttpUrl.Builder url(String resource) {
    HostPort first = addresses.getFirst();
    return new HttpUrl.Builder()
        .scheme("http")
        .host(first.host())
        .port(first.port())
        .addPathSegment("v1")
        .addPathSegment(resource);
  }

  private HttpUrl.Builder url(ObjectKey key) {
    return url("objects").addPathSegment(key.kind().wireName()).addPathSegment(key.name());
  }

  private HttpUrl conditional(ObjectKey key, long expectedVersion, String changeId) {
    return url(key)
        .addQueryParameter("ifEpoch", Long.toString(StoreRevision.epoch(expectedVersion)))
        .addQueryParameter("ifVersion", Long.toString(StoreRevision.number(expectedVersion)))
        .addQueryParameter("changeId", changeId)
        .build();
  }

  private static String wireNames(Set<ObjectKind> kinds) {
    return kinds.stream().sorted().map(ObjectKind::wireName).collect(Collectors.joining(","));
  }
}
