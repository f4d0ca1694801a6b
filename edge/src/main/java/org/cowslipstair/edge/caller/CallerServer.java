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
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import org.cowslipstair.model.config.HostPort;

/** Accepts callers. */
public final class CallerServer {
  private static final int BACKLOG = 1_024;

  private final Channel channel;

  private CallerServer(Channel channel) {
    this.channel = channel;
  }

  /**
   * Opens the address for callers. Connections wait in the queue of the operating system until
   * {@link #accept}, so that callers that come while a process starts are not turned away.
   */
  public static ServerSocketChannel listen(HostPort address) throws IOException {
    ServerSocketChannel socket = ServerSocketChannel.open();
    socket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    socket.bind(new InetSocketAddress(address.host(), address.port()), BACKLOG);
    return socket;
  }

  /** Takes an open address over without accepting yet. */
  public static CallerServer open(
      EventLoop loop, ServerSocketChannel socket, CallerContext shared) {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loop)
            .channelFactory(() -> new NioServerSocketChannel(socket))
            .option(ChannelOption.AUTO_READ, false)
            .childOption(ChannelOption.AUTO_READ, true)
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
    return new CallerServer(bootstrap.register().syncUninterruptibly().channel());
  }

  /** Starts to accept. */
  public void accept() {
    channel.config().setAutoRead(true);
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
