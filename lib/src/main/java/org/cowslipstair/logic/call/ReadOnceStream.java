package org.cowslipstair.logic.call;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

/** Stream that knows whether anybody has begun to read it. */
final class ReadOnceStream extends FilterInputStream {
  private volatile boolean read;

  ReadOnceStream(InputStream source) {
    super(source);
  }

  boolean wasRead() {
    return read;
  }

  @Override
  public int read() throws IOException {
    read = true;
    return super.read();
  }

  @Override
  public int read(byte[] target, int offset, int length) throws IOException {
    read = true;
    return super.read(target, offset, length);
  }

  @Override
  public long skip(long count) throws IOException {
    read = true;
    return super.skip(count);
  }

  @Override
  public boolean markSupported() {
    return false;
  }
}
