package org.cowslipstair.edge.sync;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.SingleSubject;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.cowslipstair.model.rollout.RolloutOrder;
import org.cowslipstair.model.rollout.RolloutStatus;
import org.cowslipstair.model.traffic.GatewayEntry;
import org.cowslipstair.port.ObjectFeed;
import org.cowslipstair.port.StoreException;

/** Feed whose responses are supplied by the test. */
final class FakeFeed implements ObjectFeed {
  final Deque<SingleSubject<Page>> lists = new ArrayDeque<>();
  final Deque<SingleSubject<Changes>> watches = new ArrayDeque<>();
  final List<String> calls = new ArrayList<>();

  @Override
  public Single<Page> list(Collection collection, Optional<String> after, Freshness freshness) {
    calls.add("list " + freshness + after.map(name -> " after " + name).orElse(""));
    SingleSubject<Page> response = SingleSubject.create();
    lists.add(response);
    return response;
  }

  @Override
  public Single<Changes> watch(Collection collection, long revision, long waitMs) {
    calls.add("watch " + revision);
    SingleSubject<Changes> response = SingleSubject.create();
    watches.add(response);
    return response;
  }

  @Override
  public Single<Item> recordStatus(RolloutOrder order, RolloutStatus status) {
    return Single.error(new StoreException.Unavailable("record a status", "no rollouts"));
  }

  @Override
  public Completable announce(GatewayEntry gateway) {
    return Completable.complete();
  }
}
