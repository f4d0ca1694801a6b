package org.cowslipstair.edge.exchange;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.cowslipstair.logic.invariant.Invariant;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.logic.overload.Urgency;
import org.cowslipstair.logic.overload.WaitingLine;
import org.cowslipstair.logic.overload.WaitingTime;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.port.MonotonicClock;
import org.jspecify.annotations.Nullable;

/**
 * Requests of this gateway that wait for room at backend servers. When one of them is due to look
 * for room, the most urgent one of its service does so in its place. Used on the event loop only.
 */
final class WaitingRoom {
  /** Maximum number of waiting requests; their bodies count toward the memory for bodies. */
  private static final int MAX_WAITING = 64;

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final ExchangeObserver observer;
  private final InvariantMonitor monitor;
  private final Map<ServiceName, WaitingLine<Visit>> lines = new HashMap<>();
  private int waiting;

  WaitingRoom(
      EventLoop loop, MonotonicClock clock, ExchangeObserver observer, InvariantMonitor monitor) {
    this.loop = loop;
    this.clock = clock;
    this.observer = observer;
    this.monitor = monitor;
    observer.onWaitingRoomCreated(() -> waiting);
  }

  /** A stay of one request until it looks for room again. */
  final class Visit {
    private final ServiceName service;
    private final WaitingLine<Visit> line;
    private final WaitingLine.Place<Visit> place;
    private final Runnable onDue;
    private final long enteredNs = clock.nowNs();
    private @Nullable ScheduledFuture<?> timer;
    private long dueNs;

    private Visit(ServiceName service, WaitingLine<Visit> line, Urgency urgency, Runnable onDue) {
      this.service = service;
      this.line = line;
      this.onDue = onDue;
      this.place = line.add(urgency, this);
    }

    private void schedule(long newDueNs) {
      dueNs = newDueNs;
      long delayNs = Math.max(0, newDueNs - clock.nowNs());
      timer = loop.schedule(this::onTimer, delayNs, TimeUnit.NANOSECONDS);
    }

    private void onTimer() {
      Visit first = line.first().map(WaitingLine.Place::item).orElse(this);
      if (first != this) {
        long latestStartNs = place.urgency().latestStartNs();
        schedule(first.dueNs - latestStartNs < 0 ? first.dueNs : latestStartNs);
      }
      first.leave();
      checkOrder(first);
      observer.onWaited(service, clock.nowNs() - first.enteredNs);
      first.onDue.run();
    }

    private void checkOrder(Visit next) {
      boolean isMoreUrgentLeft =
          line.first().stream()
              .anyMatch(left -> left.urgency().compareTo(next.place.urgency()) < 0);
      monitor.checkAtMost(
          Invariant.URGENCY_ORDER_KEPT, service.value(), isMoreUrgentLeft ? 1 : 0, 0);
    }

    /** Ends the stay without looking for room; has no effect if it has ended. */
    void leave() {
      if (line.remove(place)) {
        waiting--;
      }
      if (timer != null) {
        timer.cancel(false);
      }
    }
  }

  /**
   * Lets a request wait; returns empty if too many are waiting.
   *
   * @param roomInNs expected time until a slot is free; empty if unknown
   * @param onDue called once when the request is to look for room again
   */
  Optional<Visit> enter(
      ServiceName service, Urgency urgency, OptionalLong roomInNs, Runnable onDue) {
    if (waiting >= MAX_WAITING) {
      return Optional.empty();
    }
    waiting++;
    monitor.checkAtMost(Invariant.WAITING_BOUNDED, service.value(), waiting, MAX_WAITING);
    WaitingLine<Visit> line = lines.computeIfAbsent(service, _ -> new WaitingLine<>());
    Visit visit = new Visit(service, line, urgency, onDue);
    long nowNs = clock.nowNs();
    visit.schedule(nowNs + WaitingTime.untilNextNs(urgency, roomInNs, nowNs));
    return Optional.of(visit);
  }

  /** Returns the number of waiting requests of each service that has had any. */
  Map<ServiceName, Integer> sizes() {
    Map<ServiceName, Integer> sizes = new HashMap<>();
    lines.forEach((service, line) -> sizes.put(service, line.size()));
    return sizes;
  }
}
