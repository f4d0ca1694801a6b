package review.lab;

import java.io.IOException;
import java.lang.foreign.Arena;
import java.lang.foreign.FunctionDescriptor;
import java.lang.foreign.Linker;
import java.lang.foreign.MemorySegment;
import java.lang.foreign.ValueLayout;
import java.lang.invoke.MethodHandle;
import java.nio.charset.StandardCharsets;

/**
 * A client on a thin link: segments of an ordinary network, a small window, and a steady rate. The
 * two options are set on its own socket only, before it connects; Java does not offer the first.
 */
public final class ThinLinkClient {
  private static final int AF_INET = 2;
  private static final int SOCK_STREAM = 1;
  private static final int SOL_SOCKET = 1;
  private static final int SO_RCVBUF = 8;
  private static final int IPPROTO_TCP = 6;
  private static final int TCP_MAXSEG = 2;
  private static final int SEGMENT_BYTES = 1_460;
  private static final int WINDOW_BYTES = 2_304;
  private static final int STEP_MS = 50;

  private static final Linker LINKER = Linker.nativeLinker();
  private static final MethodHandle SOCKET = function("socket", 3);
  private static final MethodHandle CLOSE = function("close", 1);
  private static final MethodHandle SETSOCKOPT = pointerFunction("setsockopt", true);
  private static final MethodHandle CONNECT = pointerFunction("connect", false);
  private static final MethodHandle READ = transfer("read");
  private static final MethodHandle WRITE = transfer("write");

  private ThinLinkClient() {}

  private static MethodHandle function(String name, int arguments) {
    ValueLayout.OfInt[] layouts = new ValueLayout.OfInt[arguments];
    java.util.Arrays.fill(layouts, ValueLayout.JAVA_INT);
    return link(name, FunctionDescriptor.of(ValueLayout.JAVA_INT, layouts));
  }

  private static MethodHandle pointerFunction(String name, boolean hasOption) {
    return link(
        name,
        hasOption
            ? FunctionDescriptor.of(
                ValueLayout.JAVA_INT,
                ValueLayout.JAVA_INT,
                ValueLayout.JAVA_INT,
                ValueLayout.JAVA_INT,
                ValueLayout.ADDRESS,
                ValueLayout.JAVA_INT)
            : FunctionDescriptor.of(
                ValueLayout.JAVA_INT,
                ValueLayout.JAVA_INT,
                ValueLayout.ADDRESS,
                ValueLayout.JAVA_INT));
  }

  private static MethodHandle transfer(String name) {
    return link(
        name,
        FunctionDescriptor.of(
            ValueLayout.JAVA_LONG, ValueLayout.JAVA_INT, ValueLayout.ADDRESS, ValueLayout.JAVA_LONG));
  }

  private static MethodHandle link(String name, FunctionDescriptor descriptor) {
    return LINKER.downcallHandle(LINKER.defaultLookup().find(name).orElseThrow(), descriptor);
  }

  /** What a client got: the length that the head announces, the body bytes, and when it ended. */
  public record Download(String id, String firstLine, int announced, int received, long endMs) {
    /** Returns whether the answer is complete. */
    public boolean isComplete() {
      return announced >= 0 && received == announced;
    }
  }

  /** Sends a GET and reads the answer at a steady rate. */
  public static Download get(
      Record record, int port, String host, String path, int deadlineMs, int bytesPerSecond)
      throws Exception {
    String id = Client.newId();
    String request =
        "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n"
            .formatted(path, host, Wire.REQUEST_ID, id, Wire.DEADLINE, deadlineMs);
    try (Arena arena = Arena.ofConfined()) {
      int socket = open(arena, port);
      try {
        byte[] sent = request.getBytes(StandardCharsets.ISO_8859_1);
        MemorySegment out = arena.allocateFrom(ValueLayout.JAVA_BYTE, sent);
        if ((long) WRITE.invokeExact(socket, out, (long) sent.length) != sent.length) {
          throw new IOException("write");
        }
        record.line("client: %s GET %s sent", id, path);
        return read(record, arena, socket, id, bytesPerSecond);
      } catch (Throwable e) {
        throw new IOException(e);
      } finally {
        close(socket);
      }
    }
  }

  private static int open(Arena arena, int port) throws IOException {
    try {
      int socket = (int) SOCKET.invokeExact(AF_INET, SOCK_STREAM, 0);
      setOption(arena, socket, IPPROTO_TCP, TCP_MAXSEG, SEGMENT_BYTES);
      setOption(arena, socket, SOL_SOCKET, SO_RCVBUF, WINDOW_BYTES);
      MemorySegment address = arena.allocate(16);
      address.set(ValueLayout.JAVA_SHORT, 0, (short) AF_INET);
      address.set(ValueLayout.JAVA_BYTE, 2, (byte) (port >> 8));
      address.set(ValueLayout.JAVA_BYTE, 3, (byte) port);
      address.set(ValueLayout.JAVA_BYTE, 4, (byte) 127);
      address.set(ValueLayout.JAVA_BYTE, 7, (byte) 1);
      if ((int) CONNECT.invokeExact(socket, address, 16) != 0) {
        throw new IOException("connect");
      }
      return socket;
    } catch (IOException e) {
      throw e;
    } catch (Throwable e) {
      throw new IOException(e);
    }
  }

  private static void setOption(Arena arena, int socket, int level, int option, int value)
      throws Throwable {
    MemorySegment pointer = arena.allocateFrom(ValueLayout.JAVA_INT, value);
    if ((int) SETSOCKOPT.invokeExact(socket, level, option, pointer, 4) != 0) {
      throw new IOException("setsockopt " + option);
    }
  }

  private static void close(int socket) throws IOException {
    try {
      int ignored = (int) CLOSE.invokeExact(socket);
    } catch (Throwable e) {
      throw new IOException(e);
    }
  }

  private static Download read(
      Record record, Arena arena, int socket, String id, int bytesPerSecond) throws Throwable {
    int step = bytesPerSecond * STEP_MS / 1_000;
    MemorySegment buffer = arena.allocate(step);
    StringBuilder received = new StringBuilder();
    int announced = -1;
    int headBytes = 0;
    long nextMs = record.nowMs();
    while (announced < 0 || received.length() - headBytes < announced) {
      long count = (long) READ.invokeExact(socket, buffer, (long) step);
      if (count <= 0) {
        record.line("client: %s connection %s", id, count == 0 ? "closed" : "reset");
        break;
      }
      for (long i = 0; i < count; i++) {
        received.append((char) (buffer.get(ValueLayout.JAVA_BYTE, i) & 0xff));
      }
      int end = received.indexOf("\r\n\r\n");
      if (announced < 0 && end >= 0) {
        headBytes = end + 4;
        announced = announced(received.substring(0, end));
        record.line("client: %s %s, %d bytes announced", id, received.substring(0, received.indexOf("\r")), announced);
      }
      nextMs += STEP_MS * count / step;
      Thread.sleep(Math.max(0, nextMs - record.nowMs()));
    }
    String firstLine = received.indexOf("\r") < 0 ? "" : received.substring(0, received.indexOf("\r"));
    Download download =
        new Download(id, firstLine, announced, received.length() - headBytes, record.nowMs());
    record.line("client: %s got %d of %d bytes", id, download.received, announced);
    return download;
  }

  private static int announced(String head) {
    for (String line : head.split("\r\n")) {
      if (line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
        return Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
      }
    }
    return Integer.MAX_VALUE;
  }
}
