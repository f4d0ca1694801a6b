package org.cowslipstair.adapters.peer;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.port.MonotonicClock;

/**
 * Authenticates both ends of a new connection. The accepting end sends a nonce; the dialling end
 * answers with its identity, a nonce of its own and a code over all of it; the accepting end
 * answers with its identity and its code, or with a refusal. A code needs the shared key.
 */
final class Handshake {
  static final int PROTOCOL_VERSION = 2;
  static final int MAX_FRAME_BYTES = 2_048;
  private static final String MAGIC = "cowslipstair";
  private static final int NONCE_BYTES = 32;
  private static final String MAC_ALGORITHM = "HmacSHA256";
  private static final int WELCOME = 0;
  private static final int REFUSAL = 1;
  private static final byte DIALLER = 1;
  private static final byte ACCEPTOR = 2;

  private final FrameStream frames;
  private final byte[] key;
  private final Member self;
  private final RandomGenerator random;
  private final MonotonicClock clock;
  private final long deadlineNs;

  Handshake(
      FrameStream frames,
      PeerTransportSettings settings,
      Member self,
      RandomGenerator random,
      MonotonicClock clock) {
    this.frames = frames;
    this.key = settings.sharedKey();
    this.self = self;
    this.random = random;
    this.clock = clock;
    this.deadlineNs = clock.nowNs() + TimeUnit.MILLISECONDS.toNanos(settings.handshakeTimeoutMs());
  }

  /** Why an authenticated peer is refused, and the process that is in its place. */
  record Refusal(ProtocolError error, Member inPlace) {}

  /**
   * Runs the accepting end.
   *
   * @param admit decides whether the authenticated peer is taken
   * @return the peer; empty if it was refused
   */
  Optional<Member> accept(Function<Member, Optional<Refusal>> admit)
      throws IOException, ProtocolException {
    WireWriter out = newWriter();
    out.text(MAGIC);
    out.integer(PROTOCOL_VERSION);
    out.bytes(nonce());
    byte[] challenge = out.take();
    frames.write(challenge);

    byte[] frame = read();
    WireReader in = new WireReader(frame, new NameTable());
    checkVersion(in);
    byte[] hello = in.bytes();
    byte[] theirCode = in.bytes();
    if (!MessageDigest.isEqual(code(DIALLER, challenge, hello), theirCode)) {
      throw new ProtocolException(ProtocolError.NOT_AUTHENTICATED, "wrong code from the dialler");
    }
    Member peer = new WireReader(hello, new NameTable()).member();
    Optional<Refusal> refusal = admit.apply(peer);
    out.integer(refusal.isPresent() ? REFUSAL : WELCOME);
    refusal.ifPresent(r -> out.constant(r.error()));
    out.member(refusal.map(Refusal::inPlace).orElse(self));
    byte[] welcome = out.take();
    out.bytes(welcome);
    out.bytes(code(ACCEPTOR, challenge, hello, welcome));
    frames.write(out.take());
    return refusal.isPresent() ? Optional.empty() : Optional.of(peer);
  }

  /**
   * Runs the dialling end.
   *
   * @param onNewer is given the newer process that has the name of this one
   */
  Member dial(GatewayName expected, Consumer<Member> onNewer)
      throws IOException, ProtocolException {
    byte[] challenge = read();
    checkVersion(new WireReader(challenge, new NameTable()));
    WireWriter out = newWriter();
    out.member(self);
    out.bytes(nonce());
    byte[] hello = out.take();
    out.text(MAGIC);
    out.integer(PROTOCOL_VERSION);
    out.bytes(hello);
    out.bytes(code(DIALLER, challenge, hello));
    frames.write(out.take());

    WireReader in = new WireReader(read(), new NameTable());
    byte[] welcome = in.bytes();
    byte[] theirCode = in.bytes();
    if (!MessageDigest.isEqual(code(ACCEPTOR, challenge, hello, welcome), theirCode)) {
      throw new ProtocolException(ProtocolError.NOT_AUTHENTICATED, "wrong code from the acceptor");
    }
    return readWelcome(new WireReader(welcome, new NameTable()), expected, onNewer);
  }

  private static Member readWelcome(WireReader in, GatewayName expected, Consumer<Member> onNewer)
      throws ProtocolException {
    if (in.integer(WELCOME, REFUSAL) == REFUSAL) {
      ProtocolError error = in.constant(ProtocolError.values());
      Member inPlace = in.member();
      if (error == ProtocolError.SUPERSEDED) {
        onNewer.accept(inPlace);
      }
      throw new ProtocolException(error, "refused by \"%s\"".formatted(expected));
    }
    Member peer = in.member();
    if (!peer.id().name().equals(expected)) {
      throw new ProtocolException(
          ProtocolError.WRONG_PEER,
          "expected \"%s\", found \"%s\"".formatted(expected, peer.id().name()));
    }
    return peer;
  }

  private static WireWriter newWriter() {
    return new WireWriter(new NameTable());
  }

  private byte[] nonce() {
    byte[] nonce = new byte[NONCE_BYTES];
    random.nextBytes(nonce);
    return nonce;
  }

  private static void checkVersion(WireReader in) throws ProtocolException {
    String magic = in.text();
    if (!MAGIC.equals(magic)) {
      throw WireReader.malformed("first frame is not of this protocol");
    }
    long version = in.integer();
    if (version != PROTOCOL_VERSION) {
      throw new ProtocolException(
          ProtocolError.VERSION,
          "peer speaks version %d, this gateway %d".formatted(version, PROTOCOL_VERSION));
    }
  }

  private byte[] code(byte role, byte[]... transcript) throws ProtocolException {
    try {
      Mac mac = Mac.getInstance(MAC_ALGORITHM);
      mac.init(new SecretKeySpec(key, MAC_ALGORITHM));
      mac.update(role);
      for (byte[] part : transcript) {
        mac.update(new byte[] {(byte) (part.length >> Byte.SIZE), (byte) part.length});
        mac.update(part);
      }
      return mac.doFinal();
    } catch (GeneralSecurityException e) {
      throw new ProtocolException(ProtocolError.NOT_AUTHENTICATED, String.valueOf(e.getMessage()));
    }
  }

  private byte[] read() throws IOException, ProtocolException {
    try {
      return frames
          .read(MAX_FRAME_BYTES, this::limitTime)
          .orElseThrow(
              () ->
                  new ProtocolException(
                      ProtocolError.TRUNCATED, "connection ended inside the handshake"));
    } catch (SocketTimeoutException e) {
      throw new ProtocolException(ProtocolError.SLOW_HANDSHAKE, "handshake took too long");
    }
  }

  private void limitTime(Socket socket) throws IOException, ProtocolException {
    long leftMs = TimeUnit.NANOSECONDS.toMillis(deadlineNs - clock.nowNs());
    if (leftMs <= 0) {
      throw new ProtocolException(ProtocolError.SLOW_HANDSHAKE, "handshake took too long");
    }
    socket.setSoTimeout((int) leftMs);
  }
}
