package org.cowslipstair.edge.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.net.InetSocketAddress;
import org.cowslipstair.model.config.HostPort;

/** Frames with a length in front, as gateways send them to each other. */
public final class PeerFrames {
  /** Maximum size of a frame that is not a response; a larger one ends its connection. */
  public static final int MAX_REQUEST_BYTES = 4_096;

  private static final int LENGTH_FIELD_BYTES = 4;

  /**
   * First byte of a ping and of its response. The frames of a service begin with larger bytes,
   * relayed ones with smaller bytes.
   */
  private static final byte PING = 16;

  private static final byte PONG = 17;
  private static final byte SUBSCRIBE = 24;

  private PeerFrames() {}

  /** Returns a frame that checks that another gateway responds. */
  static byte[] ping() {
    return new byte[] {PING};
  }

  /** Returns the response to a ping. */
  static byte[] pong() {
    return new byte[] {PONG};
  }

  static boolean isPing(byte[] frame) {
    return frame.length == 1 && frame[0] == PING;
  }

  static boolean isPong(byte[] frame) {
    return frame.length == 1 && frame[0] == PONG;
  }

  /** Returns the frame with which a gateway asks another one to relay the state of the store. */
  public static byte[] subscribe() {
    return new byte[] {SUBSCRIBE};
  }

  /** Returns whether a frame asks for the state of the store. */
  public static boolean isSubscribe(byte[] frame) {
    return frame.length == 1 && frame[0] == SUBSCRIBE;
  }

  /** Returns whether a frame relays the state of the store. */
  static boolean isRelayed(byte[] frame) {
    return frame.length == 0 || frame[0] < PING;
  }

  /** Creates a decoder that fails on frames above a size. */
  public static ChannelHandler decoder(int maxFrameBytes) {
    return new LengthFieldBasedFrameDecoder(
        maxFrameBytes, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES);
  }

  /** Creates an encoder. */
  public static ChannelHandler encoder() {
    return new LengthFieldPrepender(LENGTH_FIELD_BYTES);
  }

  /**
   * Connects to another gateway.
   *
   * @param handler receives the frames
   */
  public static ChannelFuture connect(
      EventLoop loop, HostPort address, int timeoutMs, int maxFrameBytes, ChannelHandler handler) {
    return new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel opened) {
                opened.pipeline().addLast(decoder(maxFrameBytes), encoder(), handler);
              }
            })
        .connect(new InetSocketAddress(address.host(), address.port()));
  }
}
