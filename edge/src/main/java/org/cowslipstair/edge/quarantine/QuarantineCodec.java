package org.cowslipstair.edge.quarantine;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cowslipstair.logic.quarantine.QuarantineMessage;
import org.cowslipstair.logic.quarantine.SuspectRequest;
import org.cowslipstair.logic.quarantine.SuspectRequest.Crash;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.traffic.BackendProcess;
import org.cowslipstair.model.traffic.RequestFingerprint;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes messages about suspected requests as MessagePack. Points in time are sent as ages,
 * because the monotonic clocks of two processes cannot be compared.
 */
final class QuarantineCodec {
  private static final int SUSPECTS = 32;
  private static final int COMPARE = 33;
  private static final int SAME = 34;
  private static final long NS_PER_MS = 1_000_000L;

  /** Ages above it count as this one. */
  private static final long MAX_AGE_MS = 30 * 86_400_000L;

  private QuarantineCodec() {}

  /** Returns whether a frame is a message about suspected requests. */
  static boolean isQuarantineMessage(byte[] bytes) {
    return bytes.length > 0 && bytes[0] >= SUSPECTS && bytes[0] <= SAME;
  }

  static byte[] encode(QuarantineMessage message, long nowNs) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      switch (message) {
        case QuarantineMessage.Suspects(var suspects) -> {
          packer.packInt(SUSPECTS).packArrayHeader(suspects.size());
          for (SuspectRequest suspect : suspects) {
            pack(packer, suspect, nowNs);
          }
        }
        case QuarantineMessage.Compare(long digest) -> packer.packInt(COMPARE).packLong(digest);
        case QuarantineMessage.Same _ -> packer.packInt(SAME);
      }
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("writing to memory failed", e);
    }
  }

  static QuarantineMessage decode(byte[] bytes, long nowNs)
      throws MalformedQuarantineMessageException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      int type = unpacker.unpackInt();
      return switch (type) {
        case SUSPECTS -> {
          List<SuspectRequest> suspects = new ArrayList<>();
          int count = unpacker.unpackArrayHeader();
          for (int i = 0; i < count; i++) {
            suspects.add(unpack(unpacker, nowNs));
          }
          yield new QuarantineMessage.Suspects(suspects);
        }
        case COMPARE -> new QuarantineMessage.Compare(unpacker.unpackLong());
        case SAME -> new QuarantineMessage.Same();
        default -> throw new MalformedQuarantineMessageException("unknown message type " + type);
      };
    } catch (IOException | RuntimeException e) {
      throw new MalformedQuarantineMessageException(String.valueOf(e.getMessage()));
    }
  }

  private static void pack(MessageBufferPacker packer, SuspectRequest suspect, long nowNs)
      throws IOException {
    packer
        .packString(suspect.fingerprint().hex())
        .packInt(suspect.trials())
        .packLong((nowNs - suspect.lastTrialNs()) / NS_PER_MS)
        .packLong((nowNs - suspect.lastSeenNs()) / NS_PER_MS)
        .packMapHeader(suspect.crashes().size());
    for (Map.Entry<BackendProcess, Crash> entry : suspect.crashes().entrySet()) {
      packer
          .packString(entry.getKey().name().value())
          .packLong(entry.getKey().startedUnixMs())
          .packLong((nowNs - entry.getValue().observedNs()) / NS_PER_MS)
          .packBoolean(entry.getValue().isCleared());
    }
  }

  private static SuspectRequest unpack(MessageUnpacker unpacker, long nowNs) throws IOException {
    RequestFingerprint fingerprint = new RequestFingerprint(unpacker.unpackString());
    int trials = unpacker.unpackInt();
    long lastTrialNs = unpackTimeNs(unpacker, nowNs);
    long lastSeenNs = unpackTimeNs(unpacker, nowNs);
    Map<BackendProcess, Crash> crashes = new HashMap<>();
    int count = unpacker.unpackMapHeader();
    for (int i = 0; i < count; i++) {
      BackendProcess process =
          new BackendProcess(new BackendName(unpacker.unpackString()), unpacker.unpackLong());
      crashes.put(process, new Crash(unpackTimeNs(unpacker, nowNs), unpacker.unpackBoolean()));
    }
    return new SuspectRequest(fingerprint, crashes, trials, lastTrialNs, lastSeenNs);
  }

  private static long unpackTimeNs(MessageUnpacker unpacker, long nowNs) throws IOException {
    return nowNs - Math.clamp(unpacker.unpackLong(), 0, MAX_AGE_MS) * NS_PER_MS;
  }
}
