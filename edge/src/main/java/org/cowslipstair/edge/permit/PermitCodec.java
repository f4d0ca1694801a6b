package org.cowslipstair.edge.permit;

import java.io.IOException;
import java.util.Optional;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.traffic.BackendProcess;
import org.cowslipstair.model.traffic.RateLimit;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes messages about permits as MessagePack. The numbers of their types differ from those of
 * relay messages, which are smaller, because both arrive at the same port.
 */
final class PermitCodec {
  private static final int REQUEST = 18;
  private static final int REPLY = 19;
  private static final int GRANTED = 1;
  private static final int UNLIMITED = 2;
  private static final int DENIED = 3;
  private static final int NOT_ISSUER = 4;

  private PermitCodec() {}

  /** Returns whether a frame is a message about permits. */
  static boolean isPermitMessage(byte[] bytes) {
    return bytes.length > 0 && bytes[0] >= REQUEST && bytes[0] <= REPLY;
  }

  static byte[] encode(PermitMessage message) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      switch (message) {
        case PermitMessage.Request(long id, var backend, int requests, var observed) -> {
          packer.packInt(REQUEST).packLong(id).packInt(requests);
          packBackend(packer, backend);
          packObserved(packer, observed);
        }
        case PermitMessage.Reply(long id, var verdict, var observed) -> {
          packer.packInt(REPLY).packLong(id);
          packVerdict(packer, verdict);
          packObserved(packer, observed);
        }
      }
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("writing to memory failed", e);
    }
  }

  static PermitMessage decode(byte[] bytes) throws MalformedPermitMessageException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      int type = unpacker.unpackInt();
      return switch (type) {
        case REQUEST -> unpackRequest(unpacker);
        case REPLY ->
            new PermitMessage.Reply(
                unpacker.unpackLong(), unpackVerdict(unpacker), unpackObserved(unpacker));
        default -> throw new MalformedPermitMessageException("unknown message type " + type);
      };
    } catch (IOException | RuntimeException e) {
      throw new MalformedPermitMessageException(String.valueOf(e.getMessage()));
    }
  }

  private static PermitMessage unpackRequest(MessageUnpacker unpacker) throws IOException {
    long id = unpacker.unpackLong();
    int requests = unpacker.unpackInt();
    return new PermitMessage.Request(
        id, unpackBackend(unpacker), requests, unpackObserved(unpacker));
  }

  private static void packBackend(MessageBufferPacker packer, BackendProcess backend)
      throws IOException {
    packer.packString(backend.name().value()).packLong(backend.startedUnixMs());
  }

  private static BackendProcess unpackBackend(MessageUnpacker unpacker) throws IOException {
    return new BackendProcess(new BackendName(unpacker.unpackString()), unpacker.unpackLong());
  }

  private static void packVerdict(MessageBufferPacker packer, PermitMessage.Verdict verdict)
      throws IOException {
    switch (verdict) {
      case PermitMessage.Verdict.Granted _ -> packer.packInt(GRANTED);
      case PermitMessage.Verdict.Unlimited _ -> packer.packInt(UNLIMITED);
      case PermitMessage.Verdict.Denied(long availableInMs) ->
          packer.packInt(DENIED).packLong(availableInMs);
      case PermitMessage.Verdict.NotIssuer _ -> packer.packInt(NOT_ISSUER);
    }
  }

  private static PermitMessage.Verdict unpackVerdict(MessageUnpacker unpacker) throws IOException {
    int verdict = unpacker.unpackInt();
    return switch (verdict) {
      case GRANTED -> new PermitMessage.Verdict.Granted();
      case UNLIMITED -> new PermitMessage.Verdict.Unlimited();
      case DENIED -> new PermitMessage.Verdict.Denied(unpacker.unpackLong());
      case NOT_ISSUER -> new PermitMessage.Verdict.NotIssuer();
      default -> throw new MalformedPermitMessageException("unknown verdict " + verdict);
    };
  }

  /** An observation is a flag, the rate or nil, and the age. */
  private static void packObserved(
      MessageBufferPacker packer, Optional<PermitMessage.Observed> observed) throws IOException {
    packer.packBoolean(observed.isPresent());
    if (observed.isEmpty()) {
      return;
    }
    Optional<RateLimit> limit = observed.get().limit();
    if (limit.isPresent()) {
      packer.packDouble(limit.get().requestsPerSecond());
    } else {
      packer.packNil();
    }
    packer.packLong(observed.get().ageMs());
  }

  private static Optional<PermitMessage.Observed> unpackObserved(MessageUnpacker unpacker)
      throws IOException {
    if (!unpacker.unpackBoolean()) {
      return Optional.empty();
    }
    Optional<RateLimit> limit =
        unpacker.tryUnpackNil()
            ? Optional.empty()
            : Optional.of(new RateLimit(unpacker.unpackDouble()));
    return Optional.of(new PermitMessage.Observed(limit, unpacker.unpackLong()));
  }
}
