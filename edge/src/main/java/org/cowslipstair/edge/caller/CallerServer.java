package org.cowslipstair.edge.caller;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import org.cowslipstair.model.config.HostPort;

/** Accepts callers. */
public final class CallerServer {
  private static final int BACKLOG = 1_024;

  private final Channel channel;

  private CallerServer(Channel channel) {
    this.channel = channel;
  }

  /** Starts to accept. */
  public static CallerServer open(EventLoop loop, HostPort address, CallerContext shared)
      throws InterruptedException {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_KEEPALIVE, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel accepted) {
                    CallerConnection connection = new CallerConnection(shared);
                    accepted
                        .pipeline()
                        .addLast(
                            new ByteWatch(connection),
                            new CallerDecoder(shared.bounds().maxHeadBytes()),
                            new HttpResponseEncoder(),
                            connection);
                  }
                });
    InetSocketAddress local = new InetSocketAddress(address.host(), address.port());
    return new CallerServer(bootstrap.bind(local).sync().channel());
  }

  /** Returns the port in use. */
  public int port() {
    return ((InetSocketAddress) channel.localAddress()).getPort();
  }

  /** Stops to accept; open connections go on. */
  public void close() {
    channel.close();
  }

  /** Tells a connection that bytes have arrived, before they are decoded. */
  private static final class ByteWatch extends ChannelInboundHandlerAdapter {
    private final CallerConnection connection;

    ByteWatch(CallerConnection connection) {
      this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      connection.bytesArrived();
      context.fireChannelRead(message);
    }
  }
}
