package org.cowslipstair.standins.backend;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.zip.CRC32;

/**
 * Body of an answer: the request id and a line end, filler, and as last eight characters the CRC-32
 * of everything before them. The reader of a body can thus tell whether it is whole and its own.
 */
public final class EchoBody {
  private static final int CHECKSUM_BYTES = 8;
  private static final int CHUNK_BYTES = 16_384;
  private static final byte[] FILLER = filler();

  private EchoBody() {}

  private static byte[] filler() {
    byte[] filler = new byte[CHUNK_BYTES];
    for (int i = 0; i < filler.length; i++) {
      filler[i] = (byte) ('a' + i * 7 % 26);
    }
    return filler;
  }

  /** Returns the length of a body for which a number of bytes was asked. */
  public static long lengthBytes(String requestId, long askedBytes) {
    return Math.max(askedBytes, head(requestId).length + CHECKSUM_BYTES);
  }

  /** Action before the last bytes of a body are written. */
  @FunctionalInterface
  interface BeforeEnd {
    void run() throws IOException;
  }

  /** Writes a body of a length from {@link #lengthBytes}. */
  static void write(OutputStream out, String requestId, long lengthBytes, BeforeEnd beforeEnd)
      throws IOException {
    CRC32 checksum = new CRC32();
    byte[] head = head(requestId);
    checksum.update(head);
    long fillerBytes = lengthBytes - head.length - CHECKSUM_BYTES;
    if (fillerBytes <= CHUNK_BYTES) {
      writeSmall(out, head, (int) fillerBytes, checksum, beforeEnd);
      return;
    }
    out.write(head);
    while (fillerBytes > 0) {
      int chunkBytes = (int) Math.min(CHUNK_BYTES, fillerBytes);
      checksum.update(FILLER, 0, chunkBytes);
      out.write(FILLER, 0, chunkBytes);
      fillerBytes -= chunkBytes;
    }
    beforeEnd.run();
    out.write(text(checksum));
  }

  private static void writeSmall(
      OutputStream out, byte[] head, int fillerBytes, CRC32 checksum, BeforeEnd beforeEnd)
      throws IOException {
    byte[] whole = Arrays.copyOf(head, head.length + fillerBytes + CHECKSUM_BYTES);
    System.arraycopy(FILLER, 0, whole, head.length, fillerBytes);
    checksum.update(FILLER, 0, fillerBytes);
    System.arraycopy(text(checksum), 0, whole, head.length + fillerBytes, CHECKSUM_BYTES);
    beforeEnd.run();
    out.write(whole);
  }

  private static byte[] head(String requestId) {
    return (requestId + "\n").getBytes(StandardCharsets.UTF_8);
  }

  private static byte[] text(CRC32 checksum) {
    return "%08x".formatted(checksum.getValue()).getBytes(StandardCharsets.US_ASCII);
  }

  /** Checks a body as it arrives, in bounded memory. */
  public static final class Verifier {
    private final byte[] head;
    private final byte[] tail = new byte[CHECKSUM_BYTES];
    private final CRC32 checksum = new CRC32();
    private int tailBytes;
    private long totalBytes;
    private boolean headMatches = true;

    /** Starts to check the answer to one request. */
    public Verifier(String requestId) {
      this.head = head(requestId);
    }

    /** Takes the next bytes. */
    public void update(byte[] bytes, int offset, int length) {
      for (int i = 0; i < length && totalBytes + i < head.length; i++) {
        headMatches &= bytes[offset + i] == head[(int) totalBytes + i];
      }
      totalBytes += length;
      if (length >= CHECKSUM_BYTES) {
        checksum.update(tail, 0, tailBytes);
        checksum.update(bytes, offset, length - CHECKSUM_BYTES);
        System.arraycopy(bytes, offset + length - CHECKSUM_BYTES, tail, 0, CHECKSUM_BYTES);
        tailBytes = CHECKSUM_BYTES;
        return;
      }
      int spilled = Math.max(0, tailBytes + length - CHECKSUM_BYTES);
      checksum.update(tail, 0, spilled);
      System.arraycopy(tail, spilled, tail, 0, tailBytes - spilled);
      System.arraycopy(bytes, offset, tail, tailBytes - spilled, length);
      tailBytes += length - spilled;
    }

    /** Returns whether the body was whole and the answer to the request. */
    public boolean isWhole() {
      return headMatches
          && totalBytes >= head.length + CHECKSUM_BYTES
          && Arrays.equals(tail, text(checksum));
    }
  }
}
