package org.cowslipstair.edge.relay;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.cowslipstair.edge.peer.PeerFrameHandler;
import org.cowslipstair.edge.peer.PeerFrames;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.port.MonotonicClock;

/**
 * Relays the state of the store to the gateways that subscribe, and responds to the frames of the
 * others. Confined to its event loop.
 */
public final class RelayServer {
  /** Maximum bytes queued for one subscriber; one that does not read is disconnected. */
  private static final int MAX_QUEUED_BYTES = 8 << 20;

  /**
   * Time after which a gateway that has sent no frame counts as a subscriber of an earlier release.
   * A gateway with a slow processor may take most of it until its first frame.
   */
  private static final long FIRST_FRAME_TIMEOUT_MS = 400;

  private final RelayCodec codec;
  private final Supplier<List<RelayMessage>> initialMessages;
  private final PeerFrameHandler frameHandler;
  private final Set<Channel> subscribers = new HashSet<>();

  /**
   * Creates a server.
   *
   * @param initialMessages returns the messages that bring a new subscriber up to date
   * @param frameHandler responds to the frames of gateways that do not subscribe
   */
  RelayServer(
      MonotonicClock clock,
      Supplier<List<RelayMessage>> initialMessages,
      PeerFrameHandler frameHandler) {
    this.codec = new RelayCodec(clock);
    this.initialMessages = initialMessages;
    this.frameHandler = frameHandler;
  }

  /** Starts to accept subscribers and returns the bound port. */
  int open(EventLoop loop, HostPort address) throws InterruptedException {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel accepted) {
                    accepted
                        .pipeline()
                        .addLast(
                            PeerFrames.decoder(PeerFrames.MAX_REQUEST_BYTES),
                            PeerFrames.encoder(),
                            new PeerHandler());
                  }
                });
    Channel channel =
        bootstrap.bind(new InetSocketAddress(address.host(), address.port())).sync().channel();
    return ((InetSocketAddress) channel.localAddress()).getPort();
  }

  /** Sends a message to all subscribers. */
  void publish(RelayMessage message) {
    if (subscribers.isEmpty()) {
      return;
    }
    byte[] bytes = codec.encode(message);
    for (Channel subscriber : List.copyOf(subscribers)) {
      send(subscriber, bytes);
    }
  }

  private static void send(Channel subscriber, byte[] bytes) {
    if (subscriber.bytesBeforeWritable() > MAX_QUEUED_BYTES) {
      subscriber.close();
      return;
    }
    subscriber.writeAndFlush(Unpooled.wrappedBuffer(bytes));
  }

  /** Returns the number of connected subscribers. */
  int subscribers() {
    return subscribers.size();
  }

  private final class PeerHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private boolean hasSentFrame;

    @Override
    public void channelActive(ChannelHandlerContext context) {
      context
          .executor()
          .schedule(
              () -> onFirstFrameTimeout(context.channel()),
              FIRST_FRAME_TIMEOUT_MS,
              TimeUnit.MILLISECONDS);
    }

    private void onFirstFrameTimeout(Channel channel) {
      if (!hasSentFrame) {
        subscribe(channel);
      }
    }

    private void subscribe(Channel channel) {
      if (channel.isActive() && subscribers.add(channel)) {
        initialMessages.get().forEach(message -> send(channel, codec.encode(message)));
      }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) throws IOException {
      hasSentFrame = true;
      byte[] bytes = new byte[frame.readableBytes()];
      frame.readBytes(bytes);
      if (PeerFrames.isSubscribe(bytes)) {
        subscribe(context.channel());
        return;
      }
      subscribers.remove(context.channel());
      frameHandler.onFrame(bytes).ifPresent(response -> send(context.channel(), response));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      subscribers.remove(context.channel());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
