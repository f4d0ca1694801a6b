package org.cowslipstair.experiments.load;

import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import okhttp3.ConnectionPool;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.ResponseBody;
import org.cowslipstair.model.call.CallHeaders;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.standins.backend.EchoBody;

/**
 * Sends calls over HTTP to gateways, one after the other, as the platform's balancer would, and
 * checks that each answer is whole and its own.
 */
public final class HttpCallSender implements CallSender, AutoCloseable {
  private static final int MAX_IDLE_CONNECTIONS = 1_024;
  private static final long NS_PER_US = 1_000;
  private static final int BUFFER_BYTES = 8_192;
  private static final MediaType ORDER = MediaType.get("application/octet-stream");
  private static final byte[] ORDER_BODY = new byte[64];

  private final Map<HostPort, OkHttpClient> clients = new ConcurrentHashMap<>();
  private final AtomicReference<List<HostPort>> gateways;
  private final String runName;
  private final long timeoutMs;

  /**
   * Creates a sender.
   *
   * @param gateways addresses of the gateways that are ready
   * @param runName part of each request id, so that runs do not mix
   */
  public HttpCallSender(List<HostPort> gateways, String runName, long timeoutMs) {
    this.gateways = new AtomicReference<>(List.copyOf(gateways));
    this.runName = runName;
    this.timeoutMs = timeoutMs;
  }

  /**
   * Creates the client of one gateway; a client of its own spares its connections a shared lock.
   */
  private OkHttpClient newClient(HostPort gateway) {
    return new OkHttpClient.Builder()
        .protocols(List.of(Protocol.HTTP_1_1))
        .retryOnConnectionFailure(false)
        .followRedirects(false)
        .connectionPool(new ConnectionPool(MAX_IDLE_CONNECTIONS, 1, TimeUnit.MINUTES))
        .connectTimeout(1, TimeUnit.SECONDS)
        .readTimeout(timeoutMs * 2, TimeUnit.MILLISECONDS)
        .build();
  }

  /** Replaces the addresses, as the platform's balancer does when readiness changes. */
  public void setGateways(List<HostPort> ready) {
    gateways.set(List.copyOf(ready));
  }

  /** Returns the request id of a call. */
  public String requestId(long number) {
    return runName + "-" + number;
  }

  @Override
  public CallerView send(ServiceLoad load, long number, boolean idempotent) {
    List<HostPort> ready = gateways.get();
    HostPort gateway = ready.get((int) (number % ready.size()));
    Request request = request(load, gateway, requestId(number), idempotent);
    OkHttpClient client = clients.computeIfAbsent(gateway, this::newClient);
    try (Response response = client.newCall(request).execute()) {
      return view(response, requestId(number));
    } catch (ConnectException _) {
      return new CallerView.Unreachable();
    } catch (IOException e) {
      return new CallerView.ConnectionFailed("%s from %s".formatted(e, gateway));
    }
  }

  private Request request(
      ServiceLoad load, HostPort gateway, String requestId, boolean idempotent) {
    Request.Builder builder =
        new Request.Builder()
            .url("http://" + gateway + load.path())
            .header("Host", load.host())
            .header(CallHeaders.REQUEST_ID, requestId)
            .header(CallHeaders.TIMEOUT_MS, Long.toString(timeoutMs))
            .header("Standin-Answer-Bytes", Integer.toString(load.answerBytes()));
    return idempotent
        ? builder.get().build()
        : builder.post(RequestBody.create(ORDER_BODY, ORDER)).build();
  }

  private static CallerView view(Response response, String requestId) throws IOException {
    Optional<String> outcome = Optional.ofNullable(response.header(CallHeaders.OUTCOME));
    if (outcome.isPresent()) {
      return outcome.get().equals(CallHeaders.NOT_RUN)
          ? new CallerView.NotRun(response.code())
          : new CallerView.MayHaveRun(response.code());
    }
    if (!response.isSuccessful()) {
      return new CallerView.MayHaveRun(response.code());
    }
    return isWhole(response.body(), requestId)
        ? new CallerView.Answered(
            headerNs(response, "Standin-Worked-Us"), headerNs(response, "Standin-Spent-Us"))
        : new CallerView.WrongBody();
  }

  private static boolean isWhole(ResponseBody body, String requestId) throws IOException {
    EchoBody.Verifier verifier = new EchoBody.Verifier(requestId);
    byte[] buffer = new byte[BUFFER_BYTES];
    try (InputStream in = body.byteStream()) {
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        verifier.update(buffer, 0, n);
      }
    }
    return verifier.isWhole();
  }

  private static long headerNs(Response response, String name) {
    String value = response.header(name);
    return value == null ? 0 : Long.parseLong(value) * NS_PER_US;
  }

  @Override
  public void close() {
    for (OkHttpClient client : clients.values()) {
      client.connectionPool().evictAll();
      client.dispatcher().executorService().shutdown();
    }
  }
}
