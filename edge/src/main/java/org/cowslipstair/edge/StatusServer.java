package org.cowslipstair.edge;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.function.Supplier;
import org.cowslipstair.model.config.HostPort;

/** Serves the readiness checks of the balancer, the metrics and the state dump. */
public final class StatusServer {
  private final Channel channel;

  private StatusServer(Channel channel) {
    this.channel = channel;
  }

  /**
   * Content of one path.
   *
   * @param available whether the status is 200; otherwise it is 503
   */
  public record Page(boolean available, String text) {}

  /**
   * Binds the address and starts to serve.
   *
   * @param pages pages by path
   */
  public static StatusServer open(
      EventLoop loop, HostPort address, Map<String, Supplier<Page>> pages)
      throws InterruptedException {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel accepted) {
                    accepted.pipeline().addLast(new HttpServerCodec(), new Handler(pages));
                  }
                });
    InetSocketAddress local = new InetSocketAddress(address.host(), address.port());
    return new StatusServer(bootstrap.bind(local).sync().channel());
  }

  /** Returns the port of the server. */
  public int port() {
    return ((InetSocketAddress) channel.localAddress()).getPort();
  }

  private static final class Handler extends SimpleChannelInboundHandler<HttpObject> {
    private final Map<String, Supplier<Page>> pages;

    Handler(Map<String, Supplier<Page>> pages) {
      this.pages = pages;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject object) {
      if (object instanceof HttpContent content && content.content().isReadable()) {
        context.close();
        return;
      }
      if (!(object instanceof HttpRequest request)) {
        return;
      }
      Supplier<Page> supplier = pages.get(request.uri());
      Page page = supplier == null ? new Page(false, "") : supplier.get();
      HttpResponseStatus status =
          supplier == null
              ? HttpResponseStatus.NOT_FOUND
              : page.available() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
      DefaultFullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              status,
              ByteBufUtil.writeUtf8(UnpooledByteBufAllocator.DEFAULT, page.text()));
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
      boolean keepAlive = HttpUtil.isKeepAlive(request);
      HttpUtil.setKeepAlive(response, keepAlive);
      var written = context.writeAndFlush(response);
      if (!keepAlive) {
        written.addListener(ChannelFutureListener.CLOSE);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
