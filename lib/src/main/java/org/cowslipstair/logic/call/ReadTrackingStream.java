package org.cowslipstair.logic.call;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

/** Stream that records whether reading from it has started. */
final class ReadTrackingStream extends FilterInputStream {
  private volatile boolean readStarted;

  ReadTrackingStream(InputStream source) {
    super(source);
  }

  boolean hasBeenRead() {
    return readStarted;
  }

  @Override
  public int read() throws IOException {
    readStarted = true;
    return super.read();
  }

  @Override
  public int read(byte[] target, int offset, int length) throws IOException {
    readStarted = true;
    return super.read(target, offset, length);
  }

  @Override
  public long skip(long count) throws IOException {
    readStarted = true;
    return super.skip(count);
  }

  @Override
  public boolean markSupported() {
    return false;
  }
}
