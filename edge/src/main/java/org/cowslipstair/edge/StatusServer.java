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
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
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
   * Everything that is served.
   *
   * @param pages pages by path, for GET
   * @param actions actions by the start of their path, for POST; each gets the rest of the path and
   *     returns empty if what it names does not exist
   */
  public record Content(
      Map<String, Supplier<Page>> pages, Map<String, Function<String, Optional<Page>>> actions) {
    /** Copies the maps. */
    public Content {
      pages = Map.copyOf(pages);
      actions = Map.copyOf(actions);
    }

    private Optional<Page> respond(HttpMethod method, String path) {
      if (!method.equals(HttpMethod.POST)) {
        return Optional.ofNullable(pages.get(path)).map(Supplier::get);
      }
      return actions.entrySet().stream()
          .filter(action -> path.startsWith(action.getKey()))
          .findFirst()
          .flatMap(action -> action.getValue().apply(path.substring(action.getKey().length())));
    }
  }

  /** Binds the address and starts to serve. */
  public static StatusServer open(EventLoop loop, HostPort address, Content content)
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
                    accepted.pipeline().addLast(new HttpServerCodec(), new Handler(content));
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
    private final Content content;

    Handler(Content content) {
      this.content = content;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject object) {
      if (object instanceof HttpContent body && body.content().isReadable()) {
        context.close();
        return;
      }
      if (!(object instanceof HttpRequest request)) {
        return;
      }
      Optional<Page> page = content.respond(request.method(), request.uri());
      HttpResponseStatus status = page.map(Handler::status).orElse(HttpResponseStatus.NOT_FOUND);
      DefaultFullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              status,
              ByteBufUtil.writeUtf8(
                  UnpooledByteBufAllocator.DEFAULT, page.map(Page::text).orElse("")));
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
      boolean keepAlive = HttpUtil.isKeepAlive(request);
      HttpUtil.setKeepAlive(response, keepAlive);
      var written = context.writeAndFlush(response);
      if (!keepAlive) {
        written.addListener(ChannelFutureListener.CLOSE);
      }
    }

    private static HttpResponseStatus status(Page page) {
      return page.available() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
