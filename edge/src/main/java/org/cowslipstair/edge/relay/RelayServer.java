package org.cowslipstair.edge.relay;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.port.MonotonicClock;

/** Relays the state of the store to the gateways that connect. Confined to its event loop. */
public final class RelayServer {
  static final int LENGTH_FIELD_BYTES = 4;

  /** Maximum bytes queued for one subscriber; one that does not read is disconnected. */
  private static final int MAX_QUEUED_BYTES = 8 << 20;

  private final RelayCodec codec;
  private final Supplier<List<RelayMessage>> initialMessages;
  private final Set<Channel> subscribers = new HashSet<>();

  /**
   * Creates a server.
   *
   * @param initialMessages returns the messages that bring a new subscriber up to date
   */
  RelayServer(MonotonicClock clock, Supplier<List<RelayMessage>> initialMessages) {
    this.codec = new RelayCodec(clock);
    this.initialMessages = initialMessages;
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
                            new LengthFieldPrepender(LENGTH_FIELD_BYTES), new SubscriberHandler());
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

  private final class SubscriberHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelActive(ChannelHandlerContext context) {
      subscribers.add(context.channel());
      initialMessages.get().forEach(message -> send(context.channel(), codec.encode(message)));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      // Subscribers send nothing.
      ReferenceCountUtil.release(message);
      context.close();
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
