package org.cowslipstair.edge.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.Map;
import org.cowslipstair.edge.peer.PeerFrames;
import org.cowslipstair.model.traffic.GatewayEntry;
import org.cowslipstair.model.traffic.StorePosition;
import org.cowslipstair.port.MonotonicClock;
import org.cowslipstair.port.ObjectFeed.Collection;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/** Subscription to one gateway that watches the store. Confined to its event loop. */
final class RelayLink {
  private static final Logger LOG = Logger.getLogger(RelayLink.class);
  private static final int MAX_FRAME_BYTES = 8 << 20;
  private static final int CONNECT_TIMEOUT_MS = 700;
  private static final long NS_PER_MS = 1_000_000L;

  private final GatewayEntry peer;
  private final RelayCodec codec;
  private final MonotonicClock clock;
  private final Listener listener;
  private final long createdNs;
  private @Nullable Channel channel;
  private long lastProofNs;
  private boolean proofReceived;
  private boolean closed;

  /** Receives the messages of the peer. */
  interface Listener {
    /** Called for each decoded message. */
    void onMessage(RelayMessage message);

    /** Returns whether the state of this gateway has reached the given positions. */
    boolean hasReached(Map<Collection, StorePosition> positions);
  }

  RelayLink(GatewayEntry peer, MonotonicClock clock, Listener listener) {
    this.peer = peer;
    this.codec = new RelayCodec(clock);
    this.clock = clock;
    this.listener = listener;
    this.createdNs = clock.nowNs();
  }

  void open(EventLoop loop) {
    ChannelFuture connecting =
        PeerFrames.connect(
            loop, peer.relayAddress(), CONNECT_TIMEOUT_MS, MAX_FRAME_BYTES, new FrameHandler());
    channel = connecting.channel();
    connecting.addListener(
        _ -> {
          if (!connecting.isSuccess()) {
            closed = true;
            return;
          }
          connecting.channel().writeAndFlush(Unpooled.wrappedBuffer(PeerFrames.subscribe()));
        });
  }

  GatewayEntry peer() {
    return peer;
  }

  /**
   * Returns the time in milliseconds since the peer's state was last proved to be current and
   * supplied here, or since the creation of this link if it never was.
   */
  long proofAgeMs() {
    return (clock.nowNs() - (proofReceived ? lastProofNs : createdNs)) / NS_PER_MS;
  }

  /** Returns whether the link is open and the peer has ever proved that its state is current. */
  boolean isOpenWithProof() {
    return proofReceived && !closed;
  }

  /** Returns whether the peer has ever proved that, even if the link is closed by now. */
  boolean hasReceivedProof() {
    return proofReceived;
  }

  boolean isClosed() {
    return closed;
  }

  void close() {
    closed = true;
    if (channel != null) {
      channel.close();
    }
  }

  private final class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
      byte[] bytes = new byte[frame.readableBytes()];
      frame.readBytes(bytes);
      RelayMessage message;
      try {
        message = codec.decode(bytes);
      } catch (RelayException e) {
        LOG.warnf("relay: %s: %s", peer.name(), e.getMessage());
        close();
        return;
      }
      if (message instanceof RelayMessage.CurrencyProof(long ageMs, var positions)
          && listener.hasReached(positions)) {
        long proofNs = clock.nowNs() - ageMs * NS_PER_MS;
        lastProofNs = proofReceived ? Math.max(lastProofNs, proofNs) : proofNs;
        proofReceived = true;
      }
      listener.onMessage(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      closed = true;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
