package org.cowslipstair.edge.caller;

import java.util.ArrayDeque;
import java.util.Deque;
import org.cowslipstair.edge.exchange.Exchange;
import org.cowslipstair.logic.stop.PlannedStop;
import org.jspecify.annotations.Nullable;

/**
 * Requests of one connection that were read completely and whose responses have not been written,
 * in order.
 */
final class ActiveRequests {
  /** Requests of one connection that may be forwarded at the same time. */
  private static final int MAX_CONCURRENT = 4;

  private final BodyMemoryBudget memory;
  private final Deque<ActiveRequest> requests = new ArrayDeque<>();

  /** A request; its exchange is null if it was refused. */
  static final class ActiveRequest {
    private final boolean isRepeatable;
    private final long reservedBytes;
    private @Nullable Exchange exchange;

    private ActiveRequest(boolean isRepeatable, long reservedBytes) {
      this.isRepeatable = isRepeatable;
      this.reservedBytes = reservedBytes;
    }

    /** Starts the exchange of the request. */
    void start(Exchange newExchange) {
      exchange = newExchange;
      newExchange.start();
    }
  }

  ActiveRequests(BodyMemoryBudget memory) {
    this.memory = memory;
  }

  /**
   * Adds a request.
   *
   * @param reservedBytes memory to release once its response has been written
   */
  ActiveRequest add(boolean isRepeatable, long reservedBytes) {
    ActiveRequest request = new ActiveRequest(isRepeatable, reservedBytes);
    requests.add(request);
    return request;
  }

  /** Adds a request that is rejected. */
  void addRejected() {
    add(false, 0);
  }

  /** Returns whether a repeatable request may be forwarded beside these. */
  boolean canAddRepeatable() {
    return requests.size() < MAX_CONCURRENT
        && requests.stream().allMatch(request -> request.isRepeatable);
  }

  /** Removes the first request, whose response has been written. */
  void removeFirst() {
    memory.release(requests.remove().reservedBytes);
  }

  /** Lets all requests end with a planned stop at the latest. */
  void onStopBegun(PlannedStop stop) {
    for (ActiveRequest request : requests) {
      if (request.exchange != null) {
        request.exchange.onStopBegun(stop);
      }
    }
  }

  /** Cancels all requests, since the caller has disconnected. */
  void cancelAll() {
    for (ActiveRequest request : requests) {
      memory.release(request.reservedBytes);
      if (request.exchange != null) {
        request.exchange.onCallerDisconnected();
      }
    }
    requests.clear();
  }
}
