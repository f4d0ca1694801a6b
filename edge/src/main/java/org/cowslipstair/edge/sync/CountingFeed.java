package org.cowslipstair.edge.sync;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import java.util.Locale;
import java.util.Optional;
import org.cowslipstair.edge.log.GatewayMetrics;
import org.cowslipstair.model.rollout.RolloutOrder;
import org.cowslipstair.model.rollout.RolloutStatus;
import org.cowslipstair.model.traffic.GatewayEntry;
import org.cowslipstair.port.ObjectFeed;
import org.cowslipstair.port.StoreException;

/** Counts calls to the store by kind, collection and result. */
public final class CountingFeed implements ObjectFeed {
  private final ObjectFeed delegate;
  private final GatewayMetrics metrics;

  /** Creates a feed that delegates every call to another one. */
  public CountingFeed(ObjectFeed delegate, GatewayMetrics metrics) {
    this.delegate = delegate;
    this.metrics = metrics;
  }

  @Override
  public Single<Page> list(Collection collection, Optional<String> after, Freshness freshness) {
    String kind = freshness == Freshness.CACHED ? "list_cached" : "list";
    return count(delegate.list(collection, after, freshness), kind, collection);
  }

  @Override
  public Single<Changes> watch(Collection collection, long revision, long waitMs) {
    return count(delegate.watch(collection, revision, waitMs), "watch", collection);
  }

  @Override
  public Completable announce(GatewayEntry gateway) {
    return delegate
        .announce(gateway)
        .doOnComplete(
            () -> metrics.recordStoreCall("announce", collectionLabel(Collection.GATEWAYS), "done"))
        .doOnError(
            cause ->
                metrics.recordStoreCall(
                    "announce", collectionLabel(Collection.GATEWAYS), resultLabel(cause)));
  }

  @Override
  public Single<Item> recordStatus(RolloutOrder order, RolloutStatus status) {
    return count(delegate.recordStatus(order, status), "status", Collection.ROLLOUTS);
  }

  private <T> Single<T> count(Single<T> call, String kind, Collection collection) {
    return call.doOnSuccess(_ -> metrics.recordStoreCall(kind, collectionLabel(collection), "done"))
        .doOnError(
            cause -> metrics.recordStoreCall(kind, collectionLabel(collection), resultLabel(cause)))
        .doOnDispose(() -> metrics.recordStoreCall(kind, collectionLabel(collection), "cancelled"));
  }

  private static String collectionLabel(Collection collection) {
    return collection.name().toLowerCase(Locale.ROOT);
  }

  private static String resultLabel(Throwable cause) {
    return cause instanceof StoreException
        ? cause.getClass().getSimpleName().toLowerCase(Locale.ROOT)
        : "failed";
  }
}
