package org.cowslipstair.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import org.jspecify.annotations.Nullable;

/**
 * Collects the parts of a body. Large parts are retained; small ones are copied into shared blocks,
 * because a part that is retained by itself takes about 100 bytes besides its own, and keeps the
 * buffer into which it was read. Used on one event loop.
 */
public final class BodyBuffer {
  private static final int MIN_RETAINED_BYTES = 4 * 1024;
  private static final int MAX_BLOCK_BYTES = 64 * 1024;

  private @Nullable CompositeByteBuf blocks;
  private @Nullable ByteBuf openBlock;

  /** Adds a part; the caller remains its owner. */
  public void add(ByteBuf part) {
    int bytes = part.readableBytes();
    if (bytes >= MIN_RETAINED_BYTES) {
      closeBlock();
      addBlock(part.retain());
      return;
    }
    if (openBlock != null && openBlock.maxWritableBytes() < bytes) {
      closeBlock();
    }
    if (openBlock == null) {
      openBlock = Unpooled.buffer(bytes, MAX_BLOCK_BYTES);
    }
    openBlock.writeBytes(part, part.readerIndex(), bytes);
  }

  private void closeBlock() {
    if (openBlock != null) {
      addBlock(openBlock);
      openBlock = null;
    }
  }

  private void addBlock(ByteBuf block) {
    if (blocks == null) {
      blocks = Unpooled.compositeBuffer(Integer.MAX_VALUE);
    }
    blocks.addComponent(true, block);
  }

  /** Returns the number of bytes collected. */
  public int size() {
    return (blocks == null ? 0 : blocks.readableBytes())
        + (openBlock == null ? 0 : openBlock.readableBytes());
  }

  /** Returns the bytes collected, which the caller owns, and begins anew. */
  public ByteBuf take() {
    closeBlock();
    ByteBuf taken = blocks == null ? Unpooled.EMPTY_BUFFER : blocks;
    blocks = null;
    return taken;
  }

  /** Releases the bytes collected. */
  public void release() {
    take().release();
  }
}
