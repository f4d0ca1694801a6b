package review.lab;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the milliseconds since the start of the case. */
public final class Record implements AutoCloseable {
  private final long startNs = System.nanoTime();
  private final PrintWriter out;

  public Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  /** Returns the milliseconds since the start of the case. */
  public long nowMs() {
    return (System.nanoTime() - startNs) / 1_000_000;
  }

  /** Writes one line. */
  public synchronized void line(String format, Object... arguments) {
    out.printf(Locale.ROOT, "%7d %s%n", nowMs(), String.format(Locale.ROOT, format, arguments));
    out.flush();
  }

  @Override
  public void close() {
    out.close();
  }
}
