package org.cowslipstair.edge.caller;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.SocketChannel;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection for writing once everything written has been sent, and lets what the caller
 * has sent meanwhile be read and discarded for a while. Closing with unread bytes would reset the
 * connection and could destroy the last response.
 */
final class LingeringClose {
  private static final long DISCARD_TIMEOUT_MS = 2_000;

  private LingeringClose() {}

  /**
   * Starts to close a connection.
   *
   * @param onSent called when everything written has been sent
   */
  static void start(ChannelHandlerContext context, Runnable onSent) {
    Channel channel = context.channel();
    channel.config().setAutoRead(true);
    context
        .writeAndFlush(Unpooled.EMPTY_BUFFER)
        .addListener(
            _ -> {
              onSent.run();
              closeOutput(channel);
            });
  }

  private static void closeOutput(Channel channel) {
    if (channel instanceof SocketChannel socket) {
      socket.shutdownOutput();
    }
    channel.eventLoop().schedule(() -> channel.close(), DISCARD_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }
}
