package org.cowslipstair.edge.exchange;

import java.util.Optional;
import java.util.OptionalLong;
import org.cowslipstair.edge.backend.BackendEntry;
import org.cowslipstair.edge.http.ServerConnection;
import org.cowslipstair.model.call.NotRunReason;
import org.jspecify.annotations.Nullable;

/** Selects the backend servers of one exchange, one at a time, and acquires connections to them. */
final class SendPreparation {
  private final ExchangeContext context;
  private final HedgeTimer hedgeTimer;
  private final Listener listener;
  private @Nullable BackendSelection selection;
  private WaitingRoom.@Nullable Visit visit;
  private OptionalLong roomInNs = OptionalLong.empty();
  private String detail = "";
  private boolean cancelled;

  /** Receives the result of a preparation; not called after a cancellation. */
  interface Listener {
    /** A request can be sent; the listener owns the connection. */
    void onConnected(BackendSelection.Selected selected, ServerConnection connection, String cause);

    /** No backend server can be used. */
    void onNoneSelected(NotRunReason reason, boolean isHedge);

    /** The request has waited for room; its next selection is due. */
    void onWaited(String cause);

    /** No connection to the selected backend server could be opened. */
    void onUnreachable();
  }

  SendPreparation(ExchangeContext context, HedgeTimer hedgeTimer, Listener listener) {
    this.context = context;
    this.hedgeTimer = hedgeTimer;
    this.listener = listener;
  }

  /** Starts the selection of a backend server. */
  void start(SelectionCriteria criteria, String cause, boolean isHedge) {
    BackendSelection newSelection =
        new BackendSelection(
            context,
            criteria,
            new BackendSelection.Listener() {
              @Override
              public void onSelected(BackendSelection.Selected selected) {
                selection = null;
                if (isHedge && !hedgeTimer.tryAcquireBudget()) {
                  selected
                      .connection()
                      .ifPresent(
                          connection -> context.table().release(selected.entry(), connection));
                  listener.onNoneSelected(NotRunReason.NO_FREE_SLOT, true);
                  return;
                }
                connect(selected, cause);
              }

              @Override
              public void onNoneSelected(
                  NotRunReason reason, OptionalLong newRoomInNs, String selectionDetail) {
                selection = null;
                if (!startAlternative(criteria, cause, isHedge)) {
                  roomInNs = newRoomInNs;
                  detail = selectionDetail;
                  listener.onNoneSelected(reason, isHedge);
                }
              }

              @Override
              public void onDeferred(OptionalLong newRoomInNs, String selectionDetail) {
                selection = null;
                if (!startAlternative(criteria, cause, isHedge)) {
                  roomInNs = newRoomInNs;
                  detail = selectionDetail;
                  waitForRoom(criteria, cause);
                }
              }
            });
    selection = newSelection;
    newSelection.start();
  }

  /** Looks among other versions of the service, if they may be selected too. */
  private boolean startAlternative(SelectionCriteria criteria, String cause, boolean isHedge) {
    Optional<SelectionCriteria> alternative = criteria.alternative();
    alternative.ifPresent(other -> start(other, cause, isHedge));
    return alternative.isPresent();
  }

  private void waitForRoom(SelectionCriteria criteria, String cause) {
    Optional<WaitingRoom.Visit> entered =
        context
            .waitingRoom()
            .enter(
                criteria.service(),
                criteria.urgency(),
                roomInNs,
                () -> {
                  visit = null;
                  listener.onWaited(cause);
                });
    visit = entered.orElse(null);
    if (entered.isEmpty()) {
      listener.onNoneSelected(NotRunReason.NO_FREE_SLOT, false);
    }
  }

  private void connect(BackendSelection.Selected selected, String cause) {
    if (selected.connection().isPresent()) {
      listener.onConnected(selected, selected.connection().get(), cause);
      return;
    }
    BackendEntry entry = selected.entry();
    context
        .table()
        .acquire(
            entry,
            connection -> {
              if (cancelled) {
                context.table().release(entry, connection);
              } else {
                listener.onConnected(selected, connection, cause);
              }
            },
            _ -> {
              if (!cancelled) {
                listener.onUnreachable();
              }
            });
  }

  /** Returns whether a selection is in progress or waits for room. */
  boolean isSelecting() {
    return selection != null || visit != null;
  }

  /** Records what the load report of a server tells of its room after a send. */
  void recordRoomAfterSend(BackendSelection.Selected selected) {
    roomInNs =
        selected.load().filter(load -> load.total() < load.slots()).isPresent()
            ? OptionalLong.of(0)
            : OptionalLong.empty();
  }

  /** Returns the expected time until a backend server has room; empty if unknown. */
  OptionalLong roomInNs() {
    return roomInNs;
  }

  /** Returns the load of the candidates of the last selection without a result, for logs. */
  String detail() {
    return detail;
  }

  /** Ends the preparation; the listener is not called any more. */
  void cancel() {
    cancelled = true;
    if (visit != null) {
      visit.leave();
      visit = null;
    }
    if (selection != null) {
      selection.cancel();
      selection = null;
    }
  }
}
