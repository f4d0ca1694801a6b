package org.cowslipstair.standins.backend;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.zip.CRC32;

/**
 * Body of a response: the request id, a line feed, filler bytes, and in the last eight characters
 * the CRC-32 of all preceding bytes. A reader can thus check that the body is complete and belongs
 * to its request.
 */
public final class EchoBody {
  private static final int CHECKSUM_BYTES = 8;
  private static final int CHUNK_BYTES = 16_384;
  private static final byte[] FILLER = createFiller();

  private EchoBody() {}

  private static byte[] createFiller() {
    byte[] filler = new byte[CHUNK_BYTES];
    for (int i = 0; i < filler.length; i++) {
      filler[i] = (byte) ('a' + i * 7 % 26);
    }
    return filler;
  }

  /** Returns the body length for a requested length; at least that of head and checksum. */
  public static long lengthBytes(String requestId, long requestedBytes) {
    return Math.max(requestedBytes, headBytes(requestId).length + CHECKSUM_BYTES);
  }

  /** Action that runs before the last bytes of a body are written. */
  @FunctionalInterface
  interface BeforeLastBytes {
    void run() throws IOException;
  }

  /** Writes a body; its length must be a result of {@link #lengthBytes}. */
  static void write(
      OutputStream out, String requestId, long lengthBytes, BeforeLastBytes beforeLastBytes)
      throws IOException {
    CRC32 checksum = new CRC32();
    byte[] head = headBytes(requestId);
    checksum.update(head);
    long fillerBytes = lengthBytes - head.length - CHECKSUM_BYTES;
    if (fillerBytes <= CHUNK_BYTES) {
      writeSingleChunk(out, head, (int) fillerBytes, checksum, beforeLastBytes);
      return;
    }
    out.write(head);
    while (fillerBytes > 0) {
      int chunkBytes = (int) Math.min(CHUNK_BYTES, fillerBytes);
      checksum.update(FILLER, 0, chunkBytes);
      out.write(FILLER, 0, chunkBytes);
      fillerBytes -= chunkBytes;
    }
    beforeLastBytes.run();
    out.write(hexText(checksum));
  }

  private static void writeSingleChunk(
      OutputStream out,
      byte[] head,
      int fillerBytes,
      CRC32 checksum,
      BeforeLastBytes beforeLastBytes)
      throws IOException {
    byte[] body = Arrays.copyOf(head, head.length + fillerBytes + CHECKSUM_BYTES);
    System.arraycopy(FILLER, 0, body, head.length, fillerBytes);
    checksum.update(FILLER, 0, fillerBytes);
    System.arraycopy(hexText(checksum), 0, body, head.length + fillerBytes, CHECKSUM_BYTES);
    beforeLastBytes.run();
    out.write(body);
  }

  private static byte[] headBytes(String requestId) {
    return (requestId + "\n").getBytes(StandardCharsets.UTF_8);
  }

  private static byte[] hexText(CRC32 checksum) {
    return "%08x".formatted(checksum.getValue()).getBytes(StandardCharsets.US_ASCII);
  }

  /** Checks a body incrementally, in bounded memory. Not thread-safe. */
  public static final class Verifier {
    private final byte[] head;
    private final byte[] tail = new byte[CHECKSUM_BYTES];
    private final CRC32 checksum = new CRC32();
    private int tailBytes;
    private long totalBytes;
    private boolean isHeadCorrect = true;

    /** Creates a verifier for the response to one request. */
    public Verifier(String requestId) {
      this.head = headBytes(requestId);
    }

    /** Processes the next bytes of the body. */
    public void update(byte[] bytes, int offset, int length) {
      for (int i = 0; i < length && totalBytes + i < head.length; i++) {
        isHeadCorrect &= bytes[offset + i] == head[(int) totalBytes + i];
      }
      totalBytes += length;
      if (length >= CHECKSUM_BYTES) {
        checksum.update(tail, 0, tailBytes);
        checksum.update(bytes, offset, length - CHECKSUM_BYTES);
        System.arraycopy(bytes, offset + length - CHECKSUM_BYTES, tail, 0, CHECKSUM_BYTES);
        tailBytes = CHECKSUM_BYTES;
        return;
      }
      int evictedBytes = Math.max(0, tailBytes + length - CHECKSUM_BYTES);
      checksum.update(tail, 0, evictedBytes);
      System.arraycopy(tail, evictedBytes, tail, 0, tailBytes - evictedBytes);
      System.arraycopy(bytes, offset, tail, tailBytes - evictedBytes, length);
      tailBytes += length - evictedBytes;
    }

    /** Returns whether the body was complete and belongs to the request. */
    public boolean isWhole() {
      return isHeadCorrect
          && totalBytes >= head.length + CHECKSUM_BYTES
          && Arrays.equals(tail, hexText(checksum));
    }
  }
}
