package org.cowslipstair.edge;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.BehaviorSubject;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.rollout.RolloutOrder;
import org.cowslipstair.model.rollout.RolloutPolicy;
import org.cowslipstair.model.rollout.RolloutStatus;
import org.cowslipstair.model.rollout.ServiceVersion;
import org.cowslipstair.model.traffic.StorePosition;
import org.cowslipstair.port.ObjectFeed.Changes;
import org.cowslipstair.port.ObjectFeed.Content;
import org.cowslipstair.port.ObjectFeed.Item;

/** A store with one order of a rollout, from "v1" to "v2"; servers of even number run "v1". */
final class FakeRolloutStore {
  static final ServiceVersion TARGET = new ServiceVersion("v2");
  private static final ServiceVersion OLD = new ServiceVersion("v1");
  private static final long FIRST_REVISION = 5;

  final List<RolloutStatus.State> recorded = new CopyOnWriteArrayList<>();
  private final long durationMs;
  private final BehaviorSubject<RolloutOrder> orders = BehaviorSubject.create();
  private Optional<RolloutStatus.State> rivalEnd = Optional.empty();

  FakeRolloutStore(long durationMs) {
    this.durationMs = durationMs;
    orders.onNext(order(FIRST_REVISION, Optional.empty()));
  }

  private RolloutOrder order(long revision, Optional<RolloutStatus> status) {
    return new RolloutOrder("s", revision, new ServiceName("s"), TARGET, durationMs, status);
  }

  RolloutPolicy policy() {
    return new RolloutPolicy(0.1, 50, 5_000);
  }

  ServiceVersion version(String backend) {
    return Integer.parseInt(backend.substring(2)) % 2 == 0 ? OLD : TARGET;
  }

  /** Lets another writer record this end just before a gateway records an end. */
  void setRivalEnd(RolloutStatus.State end) {
    rivalEnd = Optional.of(end);
  }

  Optional<RolloutStatus.State> state() {
    return current().status().map(RolloutStatus::state);
  }

  private RolloutOrder current() {
    return orders.getValue();
  }

  StorePosition position() {
    return new StorePosition(0, current().revision());
  }

  List<Item> items() {
    return List.of(item(current()));
  }

  private static Item item(RolloutOrder order) {
    return new Item("s", order.revision(), new Content.Rollout(order));
  }

  Single<Changes> watch(long revision) {
    return orders
        .filter(order -> order.revision() > revision)
        .firstOrError()
        .map(
            order ->
                new Changes(
                    List.of(item(order)), Set.of(), new StorePosition(0, order.revision())));
  }

  /** Writes under the condition of the revision; returns the object as it then is. */
  Single<Item> recordStatus(RolloutOrder order, RolloutStatus status) {
    return Single.fromCallable(() -> item(write(order, status)));
  }

  private synchronized RolloutOrder write(RolloutOrder order, RolloutStatus status) {
    if (status.state().isFinal() && rivalEnd.isPresent()) {
      replace(new RolloutStatus(rivalEnd.get(), TARGET));
      rivalEnd = Optional.empty();
    }
    if (order.revision() == current().revision()) {
      recorded.add(status.state());
      replace(status);
    }
    return current();
  }

  private void replace(RolloutStatus status) {
    orders.onNext(order(current().revision() + 1, Optional.of(status)));
  }
}
