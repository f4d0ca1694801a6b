package org.cowslipstair.edge.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.net.InetSocketAddress;
import org.cowslipstair.model.traffic.GatewayEntry;
import org.cowslipstair.port.MonotonicClock;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/** A subscription to one gateway that watches the store. Lives on its event loop. */
final class RelayLink {
  private static final Logger LOG = Logger.getLogger(RelayLink.class);
  private static final int MAX_FRAME_BYTES = 8 << 20;
  private static final int CONNECT_TIMEOUT_MS = 700;
  private static final long NS_PER_MS = 1_000_000L;

  private final GatewayEntry peer;
  private final RelayCodec codec;
  private final MonotonicClock clock;
  private final Listener listener;
  private final long openedNs;
  private @Nullable Channel channel;
  private long provenNs;
  private boolean proven;
  private boolean closed;

  /** Receives the messages. */
  interface Listener {
    /** A message arrived. */
    void received(RelayMessage message);
  }

  RelayLink(GatewayEntry peer, MonotonicClock clock, Listener listener) {
    this.peer = peer;
    this.codec = new RelayCodec(clock);
    this.clock = clock;
    this.listener = listener;
    this.openedNs = clock.nowNs();
  }

  void open(EventLoop loop) {
    ChannelFuture opening =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel opened) {
                    opened
                        .pipeline()
                        .addLast(
                            new LengthFieldBasedFrameDecoder(
                                MAX_FRAME_BYTES,
                                0,
                                RelayServer.LENGTH_BYTES,
                                0,
                                RelayServer.LENGTH_BYTES),
                            new Frames());
                  }
                })
            .connect(new InetSocketAddress(peer.relayAddress().host(), peer.relayAddress().port()));
    channel = opening.channel();
    opening.addListener(
        _ -> {
          if (!opening.isSuccess()) {
            closed = true;
          }
        });
  }

  GatewayEntry peer() {
    return peer;
  }

  /** Returns the time since the peer last heard from the store; from the start if it never did. */
  long ageMs() {
    return (clock.nowNs() - (proven ? provenNs : openedNs)) / NS_PER_MS;
  }

  /** Returns whether the peer has proved its contact with the store. */
  boolean isProven() {
    return proven && !closed;
  }

  /** Returns whether the peer has ever proved its contact with the store. */
  boolean wasProven() {
    return proven;
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

  private final class Frames extends SimpleChannelInboundHandler<ByteBuf> {
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
      if (message instanceof RelayMessage.Proof(long ageMs)) {
        long newest = clock.nowNs() - ageMs * NS_PER_MS;
        provenNs = proven ? Math.max(provenNs, newest) : newest;
        proven = true;
      }
      listener.received(message);
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
