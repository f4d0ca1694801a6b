package org.cowslipstair.edge.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.cowslipstair.edge.ProtocolHeaders;
import org.cowslipstair.model.tenant.KeyDigest;
import org.cowslipstair.model.tenant.Tenant;
import org.cowslipstair.model.traffic.RequestFingerprint;

/**
 * A complete request of a caller.
 *
 * @param target path and query as the caller sent them
 * @param body body; empty if there is none
 * @param hasBody whether the request has a Content-Length or Transfer-Encoding; the body may still
 *     be empty
 * @param requestId id of the request; empty if the caller sent none
 * @param callerDeadlineNs monotonic time until which the caller waits; empty if the caller sent
 *     none
 * @param arrivedNs monotonic time at which the head arrived
 * @param tenant tenant that sent it; empty if it is anonymous or not known yet
 * @param key digest of the key that identified the tenant
 */
public record RequestMessage(
    HttpMethod method,
    String target,
    HttpHeaders headers,
    ByteBuf body,
    boolean hasBody,
    Optional<String> requestId,
    OptionalLong callerDeadlineNs,
    long arrivedNs,
    Optional<Tenant> tenant,
    Optional<KeyDigest> key) {
  /** Returns this request as one of a tenant, identified by the digest of its key. */
  public RequestMessage withTenant(Tenant sender, KeyDigest keyDigest) {
    return new RequestMessage(
        method,
        target,
        headers,
        body,
        hasBody,
        requestId,
        callerDeadlineNs,
        arrivedNs,
        Optional.of(sender),
        Optional.of(keyDigest));
  }

  /** Removes the caller's key, and what the caller claims to be its tenant, for good. */
  public void removeCredentials(ProtocolHeaders names) {
    headers.remove(HttpHeaderNames.AUTHORIZATION).remove(names.tenant());
  }

  /** Returns the path without the query. */
  public String path() {
    return path(target);
  }

  /** Returns the fingerprint; computed at each call, since few requests need it. */
  RequestFingerprint fingerprint() {
    return fingerprintHead().with(List.of(body.nioBuffers()));
  }

  /** Returns the part of the fingerprint that takes no time for the body. */
  RequestFingerprint.Head fingerprintHead() {
    return new RequestFingerprint.Head(
        key.map(KeyDigest::hex).orElse(headers.get(HttpHeaderNames.AUTHORIZATION, "")),
        method.name(),
        headers.get(HttpHeaderNames.HOST, ""),
        target);
  }

  /** Returns the request line only, since header fields and bodies are secrets of the caller. */
  @Override
  public String toString() {
    return method + " " + path();
  }

  /** Returns the path of a request target without the query. */
  public static String path(String target) {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }
}
