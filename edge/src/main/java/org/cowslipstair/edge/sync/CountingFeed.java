package org.cowslipstair.edge.sync;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import java.util.Locale;
import java.util.Optional;
import org.cowslipstair.edge.log.GatewayMetrics;
import org.cowslipstair.model.traffic.GatewayEntry;
import org.cowslipstair.port.ObjectFeed;
import org.cowslipstair.port.StoreException;

/** Counts the calls to the store by kind, collection and result. */
public final class CountingFeed implements ObjectFeed {
  private final ObjectFeed inner;
  private final GatewayMetrics metrics;

  /** Creates a feed that passes every call on to another. */
  public CountingFeed(ObjectFeed inner, GatewayMetrics metrics) {
    this.inner = inner;
    this.metrics = metrics;
  }

  @Override
  public Single<Page> list(Collection collection, Optional<String> after, Freshness freshness) {
    String kind = freshness == Freshness.CACHED ? "list_cached" : "list";
    return counted(inner.list(collection, after, freshness), kind, collection);
  }

  @Override
  public Single<Changes> watch(Collection collection, long revision, long waitMs) {
    return counted(inner.watch(collection, revision, waitMs), "watch", collection);
  }

  @Override
  public Completable announce(GatewayEntry gateway) {
    return inner
        .announce(gateway)
        .doOnComplete(() -> metrics.storeCall("announce", name(Collection.GATEWAYS), "done"))
        .doOnError(
            cause -> metrics.storeCall("announce", name(Collection.GATEWAYS), result(cause)));
  }

  private <T> Single<T> counted(Single<T> call, String kind, Collection collection) {
    return call.doOnSuccess(_ -> metrics.storeCall(kind, name(collection), "done"))
        .doOnError(cause -> metrics.storeCall(kind, name(collection), result(cause)))
        .doOnDispose(() -> metrics.storeCall(kind, name(collection), "cancelled"));
  }

  private static String name(Collection collection) {
    return collection.name().toLowerCase(Locale.ROOT);
  }

  private static String result(Throwable cause) {
    return cause instanceof StoreException
        ? cause.getClass().getSimpleName().toLowerCase(Locale.ROOT)
        : "failed";
  }
}
