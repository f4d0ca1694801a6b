package org.cowslipstair.adapters.peer;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.model.peer.PeerMessage;

/** One authenticated connection. A virtual thread reads, another writes all that waits at once. */
final class PeerConnection {
  private static final int FRAME_TARGET_BYTES = 64 * 1024;

  private final FrameStream frames;
  private final PeerTransportSettings settings;
  private final Member peer;
  private final boolean dialledHere;
  private final TrafficCounter traffic;
  private final BlockingQueue<Item> queue;
  private final AtomicBoolean closed = new AtomicBoolean();
  private final CountDownLatch ended = new CountDownLatch(1);

  PeerConnection(
      FrameStream frames,
      PeerTransportSettings settings,
      Member peer,
      boolean dialledHere,
      TrafficCounter traffic) {
    this.frames = frames;
    this.settings = settings;
    this.peer = peer;
    this.dialledHere = dialledHere;
    this.traffic = traffic;
    this.queue = new LinkedBlockingQueue<>(settings.queueCapacity());
  }

  /** What waits to be written. */
  private sealed interface Item {
    /** A message. */
    record Message(PeerMessage message) implements Item {}

    /** The end of the connection. */
    record End() implements Item {}
  }

  Member peer() {
    return peer;
  }

  GatewayId id() {
    return peer.id();
  }

  boolean dialledHere() {
    return dialledHere;
  }

  /** Queues a message; a peer that lets too many wait loses its connection. */
  void send(PeerMessage message) {
    if (closed.get()) {
      traffic.dropped();
      return;
    }
    if (!queue.offer(new Item.Message(message))) {
      traffic.dropped();
      traffic.overflow();
      close();
    }
  }

  /** Writes until the connection ends. */
  void runWriter() {
    NameTable names = new NameTable();
    WireWriter out = new WireWriter(names);
    try {
      boolean isOpen = true;
      while (isOpen && !closed.get()) {
        isOpen = writeWaiting(out);
      }
      frames.socket().shutdownOutput(); // The peer reads what is on its way, then closes.
    } catch (IOException | ProtocolException expected) {
      close();
    } catch (InterruptedException e) {
      close();
    }
  }

  /** Writes the messages that wait, as few frames; returns false once the end was reached. */
  private boolean writeWaiting(WireWriter out)
      throws IOException, ProtocolException, InterruptedException {
    Item item = queue.take();
    while (item instanceof Item.Message(PeerMessage message)) {
      int before = out.sizeBytes();
      PeerCodec.write(message, out);
      traffic.messageOut(MessageFamily.of(message), out.sizeBytes() - before);
      if (before > 0 && out.sizeBytes() > settings.maxFrameBytes()) {
        writeInTwoFrames(out.take(), before);
        return true;
      }
      Item next = out.sizeBytes() < FRAME_TARGET_BYTES ? queue.poll() : null;
      if (next == null) {
        writeFrame(out.take());
        return true;
      }
      item = next;
    }
    if (out.sizeBytes() > 0) {
      writeFrame(out.take());
    }
    return false;
  }

  /** Splits between two messages, so that neither frame exceeds the limit because of the other. */
  private void writeInTwoFrames(byte[] payload, int splitAt) throws IOException, ProtocolException {
    writeFrame(Arrays.copyOf(payload, splitAt));
    writeFrame(Arrays.copyOfRange(payload, splitAt, payload.length));
  }

  private void writeFrame(byte[] payload) throws IOException, ProtocolException {
    if (payload.length > settings.maxFrameBytes()) {
      throw new ProtocolException(
          ProtocolError.MESSAGE_TOO_LARGE, "frame of %d bytes".formatted(payload.length));
    }
    frames.write(payload);
    traffic.frameOut();
  }

  /** Reads until the connection ends, and hands on each message. */
  void runReader(Consumer<PeerMessage> receiver) throws IOException, ProtocolException {
    NameTable names = new NameTable();
    try {
      frames.socket().setSoTimeout(settings.idleTimeoutMs());
      while (!closed.get()) {
        Optional<byte[]> frame = frames.read(settings.maxFrameBytes(), _ -> {});
        if (frame.isEmpty()) {
          return;
        }
        traffic.frameIn();
        readMessages(new WireReader(frame.get(), names), receiver);
      }
    } catch (SocketTimeoutException e) {
      throw new IOException("peer was silent", e);
    } finally {
      close();
      ended.countDown();
    }
  }

  private void readMessages(WireReader in, Consumer<PeerMessage> receiver)
      throws ProtocolException {
    while (!in.isAtEnd()) {
      long before = in.readBytes();
      PeerMessage message = PeerCodec.read(in, peer);
      traffic.messageIn(MessageFamily.of(message), in.readBytes() - before);
      receiver.accept(message);
    }
  }

  /** Ends the connection once everything that waits is written. */
  void closeAfterWriting() {
    if (!queue.offer(new Item.End())) {
      close();
    }
  }

  /** Waits until the peer has read everything, for a bounded time. */
  void awaitEnd(long timeoutMs) throws InterruptedException {
    if (!ended.await(timeoutMs, TimeUnit.MILLISECONDS)) {
      close();
    }
  }

  /** Ends the connection at once. */
  void close() {
    if (!closed.compareAndSet(false, true)) {
      return;
    }
    queue.clear();
    queue.offer(new Item.End());
    try {
      frames.socket().close();
    } catch (IOException ignored) {
      // Nothing is left to release.
    }
  }
}
