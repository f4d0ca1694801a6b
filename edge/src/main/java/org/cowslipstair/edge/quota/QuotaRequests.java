package org.cowslipstair.edge.quota;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cowslipstair.edge.peer.PeerLink;
import org.cowslipstair.edge.peer.PeerNetwork;
import org.cowslipstair.logic.quota.QuotaCoordinator;
import org.cowslipstair.logic.quota.ShareOffer;

/** Requests to other gateways whose replies are awaited. Used on the event loop only. */
final class QuotaRequests {
  private final String self;
  private final EventLoop loop;
  private final PeerNetwork network;
  private final long silenceNs;
  private final Consumer<String> onSilence;
  private final Map<Long, Pending> pendingRequests = new HashMap<>();
  private long lastId;
  private long unansweredCount;

  private record Pending(
      String gateway,
      Consumer<Optional<QuotaCoordinator.Reply>> onReply,
      boolean provesSilence,
      ScheduledFuture<?> timeoutTimer) {}

  /**
   * Creates a sender without requests.
   *
   * @param silenceNs time without a reply after which a gateway is silent
   * @param onSilence receives the gateways that cannot be reached or do not reply in time
   */
  QuotaRequests(
      String self,
      EventLoop loop,
      PeerNetwork network,
      long silenceNs,
      Consumer<String> onSilence) {
    this.self = self;
    this.loop = loop;
    this.network = network;
    this.silenceNs = silenceNs;
    this.onSilence = onSilence;
  }

  /**
   * Sends a request to another gateway.
   *
   * @param onReply called once with the reply; empty if there is none in time
   */
  void send(
      String gateway,
      ShareOffer offer,
      Optional<QuotaMessage.Wanted> wanted,
      long replyNs,
      Consumer<Optional<QuotaCoordinator.Reply>> onReply) {
    Optional<PeerLink> link = network.open(gateway);
    if (link.isEmpty()) {
      onSilence.accept(gateway);
      onReply.accept(Optional.empty());
      return;
    }
    lastId++;
    long id = lastId;
    ScheduledFuture<?> timeoutTimer =
        loop.schedule(() -> onTimeout(id), replyNs, TimeUnit.NANOSECONDS);
    pendingRequests.put(id, new Pending(gateway, onReply, replyNs >= silenceNs, timeoutTimer));
    QuotaMessage request = new QuotaMessage.Request(id, self, offer, wanted);
    link.get().send(QuotaCodec.encode(request), true);
  }

  private void onTimeout(long id) {
    Pending pending = pendingRequests.remove(id);
    if (pending != null) {
      unansweredCount++;
      if (pending.provesSilence) {
        onSilence.accept(pending.gateway);
      }
      pending.onReply.accept(Optional.empty());
    }
  }

  /** Passes a reply to its request unless it is late. */
  void onReply(long id, QuotaCoordinator.Reply reply) {
    Pending pending = pendingRequests.remove(id);
    if (pending != null) {
      pending.timeoutTimer.cancel(false);
      pending.onReply.accept(Optional.of(reply));
    }
  }

  long unansweredCount() {
    return unansweredCount;
  }
}
