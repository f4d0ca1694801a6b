package org.cowslipstair.edge.sync;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.SingleSubject;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.cowslipstair.model.traffic.GatewayEntry;
import org.cowslipstair.port.ObjectFeed;

/** A feed whose answers the test gives. */
final class FakeFeed implements ObjectFeed {
  final Deque<SingleSubject<Page>> lists = new ArrayDeque<>();
  final Deque<SingleSubject<Changes>> watches = new ArrayDeque<>();
  final List<String> calls = new ArrayList<>();

  @Override
  public Single<Page> list(Collection collection, Optional<String> after, Freshness freshness) {
    calls.add("list " + freshness + after.map(name -> " after " + name).orElse(""));
    SingleSubject<Page> answer = SingleSubject.create();
    lists.add(answer);
    return answer;
  }

  @Override
  public Single<Changes> watch(Collection collection, long revision, long waitMs) {
    calls.add("watch " + revision);
    SingleSubject<Changes> answer = SingleSubject.create();
    watches.add(answer);
    return answer;
  }

  @Override
  public Completable announce(GatewayEntry gateway) {
    return Completable.complete();
  }
}
