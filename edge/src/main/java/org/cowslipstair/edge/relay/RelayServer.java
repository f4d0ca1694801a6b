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

/** Passes the state of the store on to the gateways that connect. Lives on its event loop. */
public final class RelayServer {
  static final int LENGTH_BYTES = 4;

  /** Bytes that may wait for one subscriber; one that does not read is dropped. */
  private static final int MAX_PENDING_BYTES = 8 << 20;

  private final RelayCodec codec;
  private final Supplier<List<RelayMessage>> snapshots;
  private final Set<Channel> subscribers = new HashSet<>();

  /**
   * Creates a server.
   *
   * @param snapshots everything that a new subscriber has to know
   */
  RelayServer(MonotonicClock clock, Supplier<List<RelayMessage>> snapshots) {
    this.codec = new RelayCodec(clock);
    this.snapshots = snapshots;
  }

  /** Starts to accept subscribers; returns the port in use. */
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
                        .addLast(new LengthFieldPrepender(LENGTH_BYTES), new Subscriber());
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
      write(subscriber, bytes);
    }
  }

  private static void write(Channel subscriber, byte[] bytes) {
    if (subscriber.bytesBeforeWritable() > MAX_PENDING_BYTES) {
      subscriber.close();
      return;
    }
    subscriber.writeAndFlush(Unpooled.wrappedBuffer(bytes));
  }

  /** Returns the number of gateways that listen. */
  int subscribers() {
    return subscribers.size();
  }

  private final class Subscriber extends ChannelInboundHandlerAdapter {
    @Override
    public void channelActive(ChannelHandlerContext context) {
      subscribers.add(context.channel());
      snapshots.get().forEach(message -> write(context.channel(), codec.encode(message)));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      // Subscribers say nothing.
      ReferenceCountUtil.release(message);
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
