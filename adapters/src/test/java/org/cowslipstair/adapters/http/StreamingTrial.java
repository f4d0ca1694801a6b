package org.cowslipstair.adapters.http;

import java.io.IOException;
import java.util.Arrays;

/**
 * Sends a large body up and another down through the edge, all in one process, and checks every
 * byte. Run it with a small heap. Argument: MiB each way.
 */
public final class StreamingTrial {
  private static final int BLOCK_BYTES = 1024 * 1024;

  private StreamingTrial() {}

  /** Runs the trial; ends with an exception if a byte is missing or wrong. */
  public static void main(String[] args) throws Exception {
    int blocks = args.length > 0 ? Integer.parseInt(args[0]) : 1024;
    long bytes = (long) blocks * BLOCK_BYTES;
    byte[] block = pattern();
    try (RawBackend backend = new RawBackend(link -> serve(link, block, blocks));
        Edge edge = new Edge(backend.server())) {
      try (RawCaller caller = new RawCaller(edge.port())) {
        caller.send("PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: " + bytes + "\r\n\r\n");
        for (int i = 0; i < blocks; i++) {
          caller.socket.getOutputStream().write(block);
        }
        System.out.println("upload: " + caller.read().text() + " of " + blocks + " MiB");
      }
      try (RawCaller caller = new RawCaller(edge.port())) {
        caller.send(RawCaller.get("/"));
        caller.readUntil("\r\n\r\n");
        int equal = 0;
        while (equal < blocks && Arrays.equals(caller.readBytes(BLOCK_BYTES), block)) {
          equal++;
        }
        System.out.println("download: " + equal + " of " + blocks + " MiB");
      }
    }
    System.out.println("heap limit: " + Runtime.getRuntime().maxMemory() / BLOCK_BYTES + " MiB");
  }

  private static byte[] pattern() {
    byte[] block = new byte[BLOCK_BYTES];
    for (int i = 0; i < block.length; i++) {
      block[i] = (byte) (i * 31 + i / 251);
    }
    return block;
  }

  private static void serve(RawBackend.Link link, byte[] block, int blocks) throws IOException {
    boolean upload = link.readHead().requestLine().startsWith("PUT");
    if (upload) {
      int equal = 0;
      while (equal < blocks && Arrays.equals(link.readExactly(BLOCK_BYTES), block)) {
        equal++;
      }
      link.write(RawBackend.ok(Integer.toString(equal)));
      return;
    }
    link.write("HTTP/1.1 200 OK\r\nContent-Length: " + (long) blocks * BLOCK_BYTES + "\r\n\r\n");
    for (int i = 0; i < blocks; i++) {
      link.write(block);
    }
  }
}
