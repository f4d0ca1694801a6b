package org.cowslipstair.edge.rollout;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cowslipstair.logic.rollout.Directive;
import org.cowslipstair.logic.rollout.OutcomeCounts;
import org.cowslipstair.logic.rollout.RolloutReport;
import org.cowslipstair.logic.rollout.RouteCounts;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.rollout.ServiceVersion;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Encodes messages about rollouts as MessagePack. */
final class RolloutCodec {
  /** Number of routes in a report; those beyond are counted together. */
  static final int MAX_ROUTES = 30;

  /** Name under which further routes are counted. */
  static final String FURTHER_ROUTES = "(further)";

  private static final int REPORT = 96;
  private static final int TOLD = 97;
  private static final int NOTHING = 0;
  private static final int SHARE = 1;
  private static final int ONLY_TARGET = 2;
  private static final int ONLY_OTHERS = 3;
  private static final long MAX_AGE_MS = 30 * 86_400_000L;
  private static final long MAX_COUNT = 1L << 50;
  private static final int MAX_NAME_LENGTH = 48;

  private RolloutCodec() {}

  /** Returns whether a frame is a message about a rollout. */
  static boolean isRolloutMessage(byte[] bytes) {
    return bytes.length > 0 && bytes[0] >= REPORT && bytes[0] <= TOLD;
  }

  static byte[] encode(RolloutMessage message) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      switch (message) {
        case RolloutMessage.Report(RolloutReport report) -> {
          packer.packInt(REPORT);
          packReport(packer, report);
        }
        case RolloutMessage.Told(var service, var target, var directive) -> {
          packer.packInt(TOLD).packString(service.value()).packString(target.value());
          packDirective(packer, directive);
        }
      }
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("writing to memory failed", e);
    }
  }

  static RolloutMessage decode(byte[] bytes) throws MalformedRolloutMessageException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      int type = unpacker.unpackInt();
      return switch (type) {
        case REPORT -> new RolloutMessage.Report(unpackReport(unpacker));
        case TOLD ->
            new RolloutMessage.Told(
                new ServiceName(unpacker.unpackString()),
                new ServiceVersion(unpacker.unpackString()),
                unpackDirective(unpacker));
        default -> throw new MalformedRolloutMessageException("unknown message type " + type);
      };
    } catch (IOException | RuntimeException e) {
      throw new MalformedRolloutMessageException(String.valueOf(e.getMessage()));
    }
  }

  private static void packReport(MessageBufferPacker packer, RolloutReport report)
      throws IOException {
    Map<String, RouteCounts> routes = bounded(report.routes());
    packer
        .packString(report.service().value())
        .packString(report.target().value())
        .packString(report.gateway())
        .packLong(report.boot())
        .packLong(report.ageMs())
        .packBoolean(report.hasTarget())
        .packBoolean(report.isDrained())
        .packMapHeader(routes.size());
    for (Map.Entry<String, RouteCounts> entry : routes.entrySet()) {
      packer.packString(entry.getKey());
      packCounts(packer, entry.getValue().target());
      packCounts(packer, entry.getValue().others());
    }
  }

  private static Map<String, RouteCounts> bounded(Map<String, RouteCounts> routes) {
    Map<String, RouteCounts> bounded = new HashMap<>();
    routes.entrySet().stream()
        .sorted(Map.Entry.comparingByKey())
        .forEach(
            entry -> {
              boolean fits =
                  bounded.size() < MAX_ROUTES && entry.getKey().length() <= MAX_NAME_LENGTH;
              bounded.merge(
                  fits ? entry.getKey() : FURTHER_ROUTES, entry.getValue(), RouteCounts::plus);
            });
    return bounded;
  }

  private static RolloutReport unpackReport(MessageUnpacker unpacker) throws IOException {
    ServiceName service = new ServiceName(unpacker.unpackString());
    ServiceVersion target = new ServiceVersion(unpacker.unpackString());
    String gateway = unpacker.unpackString();
    long boot = unpacker.unpackLong();
    long ageMs = Math.clamp(unpacker.unpackLong(), 0, MAX_AGE_MS);
    boolean hasTarget = unpacker.unpackBoolean();
    boolean isDrained = unpacker.unpackBoolean();
    Map<String, RouteCounts> routes = new HashMap<>();
    int count = unpacker.unpackMapHeader();
    for (int i = 0; i < count; i++) {
      routes.put(
          unpacker.unpackString(), new RouteCounts(unpackCounts(unpacker), unpackCounts(unpacker)));
    }
    return new RolloutReport(service, target, gateway, boot, ageMs, hasTarget, isDrained, routes);
  }

  private static void packCounts(MessageBufferPacker packer, OutcomeCounts counts)
      throws IOException {
    packer
        .packLong(counts.sent())
        .packLong(counts.judged())
        .packLong(counts.failed())
        .packLong(counts.slow());
  }

  private static OutcomeCounts unpackCounts(MessageUnpacker unpacker) throws IOException {
    return new OutcomeCounts(
        unpackCount(unpacker), unpackCount(unpacker), unpackCount(unpacker), unpackCount(unpacker));
  }

  private static long unpackCount(MessageUnpacker unpacker) throws IOException {
    long count = unpacker.unpackLong();
    if (count < 0 || count > MAX_COUNT) {
      throw new MalformedRolloutMessageException("count " + count);
    }
    return count;
  }

  private static void packDirective(MessageBufferPacker packer, Optional<Directive> directive)
      throws IOException {
    if (directive.isEmpty()) {
      packer.packInt(NOTHING);
      return;
    }
    switch (directive.get()) {
      case Directive.Share(double share) -> packer.packInt(SHARE).packDouble(share);
      case Directive.OnlyTarget _ -> packer.packInt(ONLY_TARGET);
      case Directive.OnlyOthers _ -> packer.packInt(ONLY_OTHERS);
    }
  }

  private static Optional<Directive> unpackDirective(MessageUnpacker unpacker) throws IOException {
    int kind = unpacker.unpackInt();
    return switch (kind) {
      case NOTHING -> Optional.empty();
      case SHARE -> Optional.of(new Directive.Share(unpacker.unpackDouble()));
      case ONLY_TARGET -> Optional.of(new Directive.OnlyTarget());
      case ONLY_OTHERS -> Optional.of(new Directive.OnlyOthers());
      default -> throw new MalformedRolloutMessageException("unknown directive " + kind);
    };
  }
}
