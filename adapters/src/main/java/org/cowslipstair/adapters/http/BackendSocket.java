package org.cowslipstair.adapters.http;

import java.io.FilterInputStream;
import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ProtocolException;
import java.net.Socket;
import java.net.SocketAddress;
import java.net.SocketException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A client socket that knows whether it is still fresh, and how many bytes passed through it.
 *
 * <p>It stands on a channel, so that a read without waiting can tell a closed connection from an
 * idle one, and so that interrupting a blocked thread closes the connection.
 */
final class BackendSocket extends Socket {
  private static final int MAX_REFUSED_IDS = 64;

  private final SocketChannel channel;
  private final Socket adaptor;
  private final Set<String> refusedIds = ConcurrentHashMap.newKeySet();
  private volatile long bytesWritten;
  private volatile long reads;
  private volatile boolean retired;
  private volatile boolean awaitsAnswer;

  BackendSocket() throws IOException {
    channel = SocketChannel.open();
    channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    adaptor = channel.socket();
  }

  /** Returns how many bytes were handed to the operating system, or were about to be. */
  long bytesWritten() {
    return bytesWritten;
  }

  /**
   * Notes that a request comes next, so that the next byte received begins a status line. OkHttp
   * also takes one that does not begin with HTTP.
   */
  void beginExchange() {
    awaitsAnswer = true;
  }

  /** Returns how often bytes were received. */
  long reads() {
    return reads;
  }

  /**
   * Records that the peer says that it did not run a call. It can write an earlier refusal once
   * more, so a refusal proves that only if no earlier one on this connection can look the same.
   *
   * @param id id of the call that the refusal shows; after one that shows none, the connection is
   *     not used again
   * @return whether it is a proof
   */
  boolean recordRefusal(Optional<String> id) {
    if (id.isPresent()) {
      retired = refusedIds.size() >= MAX_REFUSED_IDS;
      return refusedIds.add(id.get());
    }
    retired = true;
    return refusedIds.isEmpty();
  }

  /**
   * Returns whether the connection is open and silent, as it must be before a request is sent. A
   * peer that closed it or sent bytes that no request asked for makes it unusable.
   */
  boolean isFresh() {
    if (retired) {
      return false;
    }
    try {
      channel.configureBlocking(false);
      try {
        return channel.read(ByteBuffer.allocate(1)) == 0;
      } finally {
        channel.configureBlocking(true);
      }
    } catch (IOException ignored) {
      return false;
    }
  }

  /** Returns whether bytes of the peer wait to be read. */
  boolean hasInput() {
    try {
      return adaptor.getInputStream().available() > 0;
    } catch (IOException ignored) {
      return false;
    }
  }

  @Override
  public void connect(SocketAddress endpoint, int timeoutMs) throws IOException {
    adaptor.connect(endpoint, timeoutMs);
  }

  @Override
  public InputStream getInputStream() throws IOException {
    return new CountingInput(adaptor.getInputStream());
  }

  @Override
  public OutputStream getOutputStream() throws IOException {
    return new CountingOutput(adaptor.getOutputStream());
  }

  @Override
  public void setSoTimeout(int timeoutMs) throws SocketException {
    adaptor.setSoTimeout(timeoutMs);
  }

  @Override
  public int getSoTimeout() throws SocketException {
    return adaptor.getSoTimeout();
  }

  @Override
  public void shutdownOutput() throws IOException {
    adaptor.shutdownOutput();
  }

  @Override
  public void shutdownInput() throws IOException {
    adaptor.shutdownInput();
  }

  @Override
  public void close() throws IOException {
    channel.close();
  }

  @Override
  public boolean isClosed() {
    return !channel.isOpen();
  }

  @Override
  public boolean isConnected() {
    return adaptor.isConnected();
  }

  @Override
  public boolean isInputShutdown() {
    return adaptor.isInputShutdown();
  }

  @Override
  public boolean isOutputShutdown() {
    return adaptor.isOutputShutdown();
  }

  @Override
  public InetAddress getInetAddress() {
    return adaptor.getInetAddress();
  }

  @Override
  public int getPort() {
    return adaptor.getPort();
  }

  @Override
  public InetAddress getLocalAddress() {
    return adaptor.getLocalAddress();
  }

  @Override
  public int getLocalPort() {
    return adaptor.getLocalPort();
  }

  @Override
  public SocketAddress getRemoteSocketAddress() {
    return adaptor.getRemoteSocketAddress();
  }

  @Override
  public String toString() {
    return adaptor.toString();
  }

  private final class CountingInput extends FilterInputStream {
    CountingInput(InputStream in) {
      super(in);
    }

    @Override
    public int read(byte[] bytes, int offset, int length) throws IOException {
      int count = super.read(bytes, offset, length);
      reads = reads + 1;
      if (count > 0 && awaitsAnswer) {
        awaitsAnswer = false;
        checkFirstByte(bytes[offset]);
      }
      return count;
    }

    private void checkFirstByte(byte first) throws IOException {
      if (first != 'H') {
        throw new ProtocolException("answer does not begin with HTTP");
      }
    }
  }

  private final class CountingOutput extends FilterOutputStream {
    CountingOutput(OutputStream out) {
      super(out);
    }

    @Override
    public void write(byte[] bytes, int offset, int length) throws IOException {
      bytesWritten = bytesWritten + length;
      out.write(bytes, offset, length);
    }
  }
}
