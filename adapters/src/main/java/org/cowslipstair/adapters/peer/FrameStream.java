package org.cowslipstair.adapters.peer;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;

/** Reads and writes frames of a length and a payload on one socket. */
final class FrameStream {
  private static final int LENGTH_BYTES = 4;
  private static final int CHUNK_BYTES = 64 * 1024;

  private final Socket socket;
  private final InputStream in;
  private final OutputStream out;

  FrameStream(Socket socket) throws IOException {
    this.socket = socket;
    this.in = new BufferedInputStream(socket.getInputStream());
    this.out = socket.getOutputStream();
  }

  Socket socket() {
    return socket;
  }

  /** Writes a frame by one call of the socket. */
  void write(byte[] payload) throws IOException {
    ByteBuffer frame = ByteBuffer.allocate(LENGTH_BYTES + payload.length);
    frame.putInt(payload.length);
    frame.put(payload);
    out.write(frame.array());
    out.flush();
  }

  /** What limits the time that reading may take. */
  @FunctionalInterface
  interface ReadTimer {
    /** Called before each read; may set a time-out, or throw when the time is over. */
    void beforeRead(Socket socket) throws IOException, ProtocolException;
  }

  /** Reads a frame; empty when the connection ended between two frames. */
  Optional<byte[]> read(int maxBytes, ReadTimer timer) throws IOException, ProtocolException {
    byte[] length = new byte[LENGTH_BYTES];
    int got = fill(length, 0, timer);
    if (got == 0) {
      return Optional.empty();
    }
    requireWhole(got, LENGTH_BYTES);
    int lengthBytes = ByteBuffer.wrap(length).getInt();
    if (lengthBytes <= 0 || lengthBytes > maxBytes) {
      throw new ProtocolException(
          ProtocolError.FRAME_LENGTH,
          "frame of %d bytes, at most %d are allowed".formatted(lengthBytes, maxBytes));
    }
    return Optional.of(readPayload(lengthBytes, timer));
  }

  /** Allocates only as much as arrives, so that a length alone costs no memory. */
  private byte[] readPayload(int lengthBytes, ReadTimer timer)
      throws IOException, ProtocolException {
    byte[] payload = new byte[Math.min(lengthBytes, CHUNK_BYTES)];
    int filled = 0;
    while (filled < lengthBytes) {
      if (filled == payload.length) {
        payload = Arrays.copyOf(payload, Math.min(lengthBytes, 2 * payload.length));
      }
      int got = fill(payload, filled, timer);
      requireWhole(filled + got, payload.length);
      filled += got;
    }
    return payload;
  }

  private static void requireWhole(int got, int wanted) throws ProtocolException {
    if (got < wanted) {
      throw new ProtocolException(ProtocolError.TRUNCATED, "connection ended inside a frame");
    }
  }

  private int fill(byte[] buffer, int from, ReadTimer timer) throws IOException, ProtocolException {
    int filled = from;
    while (filled < buffer.length) {
      timer.beforeRead(socket);
      int got = in.read(buffer, filled, buffer.length - filled);
      if (got < 0) {
        break;
      }
      filled += got;
    }
    return filled - from;
  }
}
