package org.cowslipstair.edge.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import jdk.net.ExtendedSocketOptions;
import org.cowslipstair.model.config.HostPort;

/** Opens connections to servers. */
public final class ServerConnector {
  /** Idle time before the first TCP keep-alive probe, and interval between probes. */
  private static final int TCP_KEEP_ALIVE_SECONDS = 1;

  /** Unanswered TCP keep-alive probes after which a connection is closed. */
  private static final int TCP_KEEP_ALIVE_PROBES = 2;

  private final Bootstrap bootstrap;
  private final String requestIdHeader;

  /**
   * Creates a connector.
   *
   * @param requestIdHeader response header with the id of the request
   * @param connectTimeoutMs maximum time to open a connection
   */
  public ServerConnector(EventLoop loop, String requestIdHeader, int connectTimeoutMs) {
    this.requestIdHeader = requestIdHeader;
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            // Keeps the channel active at the end of the server's output, which tells it from a
            // reset.
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(ChannelOption.SO_KEEPALIVE, true)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), TCP_KEEP_ALIVE_SECONDS)
            .option(
                NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), TCP_KEEP_ALIVE_SECONDS)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), TCP_KEEP_ALIVE_PROBES)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs);
  }

  /**
   * Opens a connection.
   *
   * @param onClosed called once when an opened connection is closed
   * @param onOpen called when the connection is open
   * @param onFailed called if the connection cannot be opened
   */
  public void connect(
      HostPort address,
      Runnable onClosed,
      Consumer<ServerConnection> onOpen,
      Consumer<Throwable> onFailed) {
    ServerConnection connection = new ServerConnection(requestIdHeader, onClosed);
    ChannelFuture connectFuture =
        bootstrap
            .clone()
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channel
                        .pipeline()
                        .addLast(new ServerRequestEncoder(), new ServerResponseDecoder());
                  }
                })
            .connect(new InetSocketAddress(address.host(), address.port()));
    connectFuture.addListener(
        _ -> {
          if (connectFuture.isSuccess()) {
            connectFuture.channel().pipeline().addLast(connection);
            onOpen.accept(connection);
          } else {
            onFailed.accept(connectFuture.cause());
          }
        });
  }
}
