package org.cowslipstair.edge.quota;

import java.io.IOException;
import java.util.Optional;
import org.cowslipstair.logic.quota.QuotaCoordinator;
import org.cowslipstair.logic.quota.QuotaIssuer;
import org.cowslipstair.logic.quota.ShareOffer;
import org.cowslipstair.model.tenant.Quota;
import org.cowslipstair.model.tenant.TenantName;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes messages about quotas as MessagePack. The stamp of an issuer is a time of its own clock,
 * which only the issuer itself interprets.
 */
final class QuotaCodec {
  private static final int REQUEST = 40;
  private static final int REPLY = 41;
  private static final int GIVE_BACK = 42;
  private static final int GRANTED = 1;
  private static final int DENIED = 2;

  /** Times above it count as this one. */
  private static final long MAX_WAIT_NS = 60_000_000_000L;

  private QuotaCodec() {}

  /** Returns whether a frame is a message about quotas. */
  static boolean isQuotaMessage(byte[] bytes) {
    return bytes.length > 0 && bytes[0] >= REQUEST && bytes[0] <= GIVE_BACK;
  }

  static byte[] encode(QuotaMessage message) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      switch (message) {
        case QuotaMessage.Request(long id, String sender, var offer, var wanted) -> {
          packer.packInt(REQUEST).packLong(id).packString(sender);
          packer.packLong(offer.issuerId()).packLong(offer.stampNs());
          packer.packInt(offer.kind().ordinal()).packBoolean(offer.advances());
          packWanted(packer, wanted);
        }
        case QuotaMessage.Reply(long id, var content) -> {
          packer.packInt(REPLY).packLong(id);
          packer.packLong(content.issuerId()).packLong(content.stampNs());
          packDecision(packer, content.decision());
        }
        case QuotaMessage.GiveBack(var tenant) ->
            packer.packInt(GIVE_BACK).packString(tenant.value());
      }
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("writing to memory failed", e);
    }
  }

  static QuotaMessage decode(byte[] bytes) throws MalformedQuotaMessageException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      int type = unpacker.unpackInt();
      return switch (type) {
        case REQUEST ->
            new QuotaMessage.Request(
                unpacker.unpackLong(),
                unpacker.unpackString(),
                unpackOffer(unpacker),
                unpackWanted(unpacker));
        case REPLY ->
            new QuotaMessage.Reply(
                unpacker.unpackLong(),
                new QuotaCoordinator.Reply(
                    unpacker.unpackLong(), unpacker.unpackLong(), unpackDecision(unpacker)));
        case GIVE_BACK -> new QuotaMessage.GiveBack(new TenantName(unpacker.unpackString()));
        default -> throw new MalformedQuotaMessageException("unknown message type " + type);
      };
    } catch (IOException | RuntimeException e) {
      throw new MalformedQuotaMessageException(String.valueOf(e.getMessage()));
    }
  }

  private static ShareOffer unpackOffer(MessageUnpacker unpacker) throws IOException {
    long issuerId = unpacker.unpackLong();
    long stampNs = unpacker.unpackLong();
    ShareOffer.Kind kind = ShareOffer.Kind.values()[unpacker.unpackInt()];
    return new ShareOffer(issuerId, stampNs, kind, unpacker.unpackBoolean());
  }

  private static void packWanted(MessageBufferPacker packer, Optional<QuotaMessage.Wanted> wanted)
      throws IOException {
    packer.packBoolean(wanted.isPresent());
    if (wanted.isPresent()) {
      Quota quota = wanted.get().quota();
      packer.packString(wanted.get().tenant().value());
      packer.packDouble(quota.requestsPerSecond()).packDouble(quota.burstRequests());
      packer.packLong(wanted.get().planVersion());
    }
  }

  private static Optional<QuotaMessage.Wanted> unpackWanted(MessageUnpacker unpacker)
      throws IOException {
    if (!unpacker.unpackBoolean()) {
      return Optional.empty();
    }
    TenantName tenant = new TenantName(unpacker.unpackString());
    Quota quota = new Quota(unpacker.unpackDouble(), unpacker.unpackDouble());
    return Optional.of(new QuotaMessage.Wanted(tenant, quota, unpacker.unpackLong()));
  }

  private static void packDecision(
      MessageBufferPacker packer, Optional<QuotaIssuer.Decision> decision) throws IOException {
    if (decision.isEmpty()) {
      packer.packNil();
      return;
    }
    switch (decision.get()) {
      case QuotaIssuer.Decision.Granted _ -> packer.packInt(GRANTED);
      case QuotaIssuer.Decision.Denied(
              long availableInNs,
              long spacingNs,
              long pauseNs,
              boolean isOverQuota) ->
          packer
              .packInt(DENIED)
              .packLong(availableInNs)
              .packLong(spacingNs)
              .packLong(pauseNs)
              .packBoolean(isOverQuota);
    }
  }

  private static Optional<QuotaIssuer.Decision> unpackDecision(MessageUnpacker unpacker)
      throws IOException {
    if (unpacker.tryUnpackNil()) {
      return Optional.empty();
    }
    int decision = unpacker.unpackInt();
    return switch (decision) {
      case GRANTED -> Optional.of(new QuotaIssuer.Decision.Granted());
      case DENIED ->
          Optional.of(
              new QuotaIssuer.Decision.Denied(
                  Math.clamp(unpacker.unpackLong(), 0, MAX_WAIT_NS),
                  Math.clamp(unpacker.unpackLong(), 0, MAX_WAIT_NS),
                  Math.clamp(unpacker.unpackLong(), 0, MAX_WAIT_NS),
                  unpacker.unpackBoolean()));
      default -> throw new MalformedQuotaMessageException("unknown decision " + decision);
    };
  }
}
