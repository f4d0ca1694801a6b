package org.cowslipstair.edge.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.port.MonotonicClock;
import org.jspecify.annotations.Nullable;

/**
 * Connection to another gateway, to which this one sends frames. It counts as lost if a frame that
 * awaits a response is not answered in time, since a connection can go silent without being closed.
 * Confined to its event loop.
 */
public final class PeerLink {
  private static final int CONNECT_TIMEOUT_MS = 300;

  /** The other gateway sends the state of the store if it receives no frame soon enough. */
  private static final int MAX_FRAME_BYTES = 8 << 20;

  /** Time without a frame after a request or a ping, after which the gateway is unreachable. */
  private static final long MAX_SILENCE_NS = 400_000_000L;

  /** Time after the last frame in which the gateway counts as reachable without a new ping. */
  private static final long MAX_FRAME_AGE_NS = 250_000_000L;

  /** Time without a request after which the link is closed. */
  private static final long MAX_IDLE_NS = 10_000_000_000L;

  private final MonotonicClock clock;
  private final Listener listener;
  private final List<byte[]> unsentFrames = new ArrayList<>();
  private @Nullable Channel channel;
  private boolean connected;
  private boolean closed;
  private boolean isAwaitingFrame;
  private long awaitingSinceNs;
  private long lastFrameNs;
  private long lastUsedNs;

  /** Receives the events of a link. */
  interface Listener {
    /**
     * A frame arrived.
     *
     * @throws IOException if it is malformed; the link is given up then
     */
    void onFrame(byte[] frame) throws IOException;

    /** The link was closed by the other side, or the other side did not respond. */
    void onLost();
  }

  PeerLink(MonotonicClock clock, Listener listener) {
    this.clock = clock;
    this.listener = listener;
    this.lastUsedNs = clock.nowNs();
    this.lastFrameNs = lastUsedNs;
  }

  void open(EventLoop loop, HostPort address) {
    send(PeerFrames.ping(), true);
    ChannelFuture connecting =
        PeerFrames.connect(loop, address, CONNECT_TIMEOUT_MS, MAX_FRAME_BYTES, new FrameHandler());
    channel = connecting.channel();
    connecting.addListener(
        _ -> {
          if (!connecting.isSuccess()) {
            lose();
            return;
          }
          connected = true;
          unsentFrames.forEach(this::write);
          unsentFrames.clear();
        });
  }

  /**
   * Sends a frame, as soon as the connection is open.
   *
   * @param awaitsResponse whether the other gateway responds to it
   */
  public void send(byte[] frame, boolean awaitsResponse) {
    long nowNs = clock.nowNs();
    lastUsedNs = nowNs;
    if (awaitsResponse && !isAwaitingFrame) {
      isAwaitingFrame = true;
      awaitingSinceNs = nowNs;
    }
    if (connected) {
      write(frame);
    } else {
      unsentFrames.add(frame);
    }
  }

  /** Pings the other gateway unless it has responded a moment ago or a response is awaited. */
  public void verify() {
    if (!isAwaitingFrame && clock.nowNs() - lastFrameNs > MAX_FRAME_AGE_NS) {
      send(PeerFrames.ping(), true);
    }
  }

  private void write(byte[] frame) {
    Channel opened = channel;
    if (opened != null && !closed) {
      opened.writeAndFlush(Unpooled.wrappedBuffer(frame));
    }
  }

  /**
   * Gives up the link if a response is overdue, and closes it if it is not used any more.
   *
   * @return whether the link is still in use
   */
  boolean check(long nowNs) {
    if (isAwaitingFrame && nowNs - awaitingSinceNs > MAX_SILENCE_NS) {
      lose();
      return false;
    }
    if (nowNs - lastUsedNs > MAX_IDLE_NS) {
      close();
      return false;
    }
    return true;
  }

  private void lose() {
    if (!closed) {
      close();
      listener.onLost();
    }
  }

  private void close() {
    closed = true;
    if (channel != null) {
      channel.close();
    }
  }

  private final class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) throws IOException {
      byte[] bytes = new byte[frame.readableBytes()];
      frame.readBytes(bytes);
      if (closed || PeerFrames.isRelayed(bytes)) {
        return;
      }
      isAwaitingFrame = false;
      lastFrameNs = clock.nowNs();
      listener.onFrame(bytes);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      lose();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      lose();
    }
  }
}
