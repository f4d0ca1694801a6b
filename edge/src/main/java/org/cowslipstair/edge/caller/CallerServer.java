package org.cowslipstair.edge.caller;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import org.cowslipstair.model.config.HostPort;

/** Accepts the connections of callers. */
public final class CallerServer {
  private static final int MAX_PENDING_CONNECTIONS = 1_024;

  private final Channel channel;

  private CallerServer(Channel channel) {
    this.channel = channel;
  }

  /**
   * Binds the address for callers. Connections wait in the backlog of the operating system until
   * {@link #startAccepting}, so that callers that connect while the process starts are not
   * rejected.
   */
  public static ServerSocketChannel bind(HostPort address) throws IOException {
    ServerSocketChannel socket = ServerSocketChannel.open();
    socket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    socket.bind(new InetSocketAddress(address.host(), address.port()), MAX_PENDING_CONNECTIONS);
    return socket;
  }

  /** Creates a server on a bound socket, without accepting connections yet. */
  public static CallerServer open(
      EventLoop loop, ServerSocketChannel socket, CallerContext callerContext) {
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
                    CallerConnection connection = new CallerConnection(callerContext);
                    accepted
                        .pipeline()
                        .addLast(
                            new ReceivedBytesHandler(connection),
                            new CallerDecoder(callerContext.bounds().maxHeadBytes()),
                            new HttpResponseEncoder(),
                            connection);
                  }
                });
    return new CallerServer(bootstrap.register().syncUninterruptibly().channel());
  }

  /** Starts accepting connections. */
  public void startAccepting() {
    channel.config().setAutoRead(true);
  }

  /** Returns the port of the server. */
  public int port() {
    return ((InetSocketAddress) channel.localAddress()).getPort();
  }

  /** Stops accepting connections; open connections are not affected. */
  public void stopAccepting() {
    channel.close();
  }

  /**
   * Notifies a connection that bytes arrived, before they are decoded, and closes it if they are
   * too many.
   */
  private static final class ReceivedBytesHandler extends ChannelInboundHandlerAdapter {
    private final CallerConnection connection;

    ReceivedBytesHandler(CallerConnection connection) {
      this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      int bytes = message instanceof ByteBuf buffer ? buffer.readableBytes() : 0;
      if (connection.acceptsBytes(bytes)) {
        context.fireChannelRead(message);
      } else {
        ReferenceCountUtil.release(message);
        context.close();
      }
    }
  }
}
