package org.cowslipstair.edge.relay;

import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.rollout.RolloutOrder;
import org.cowslipstair.model.rollout.RolloutStatus;
import org.cowslipstair.model.rollout.ServiceVersion;
import org.cowslipstair.model.traffic.BackendInstance;
import org.cowslipstair.model.traffic.GatewayEntry;
import org.cowslipstair.model.traffic.StorePosition;
import org.cowslipstair.port.MonotonicClock;
import org.cowslipstair.port.ObjectFeed.Changes;
import org.cowslipstair.port.ObjectFeed.Collection;
import org.cowslipstair.port.ObjectFeed.Content;
import org.cowslipstair.port.ObjectFeed.Item;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes relay messages as MessagePack. Points in time are sent as remaining durations, because
 * the monotonic clocks of two processes cannot be compared.
 */
final class RelayCodec {
  private static final int SNAPSHOT = 1;
  private static final int UPDATE = 2;
  private static final int CURRENCY_PROOF = 4;
  private static final int PLAN = 1;
  private static final int BACKEND = 2;
  private static final int ZONE_OUT = 3;
  private static final int GATEWAY = 4;
  private static final int PLAN_WITH_TENANTS = 5;
  private static final int BACKEND_WITH_VERSION = 6;
  private static final int ROLLOUT = 7;
  private static final int UNREADABLE = 0;
  private static final long NS_PER_MS = 1_000_000L;

  /** Longer durations count as this one. */
  private static final long MAX_DURATION_MS = 86_400_000;

  private final MonotonicClock clock;

  RelayCodec(MonotonicClock clock) {
    this.clock = clock;
  }

  byte[] encode(RelayMessage message) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      switch (message) {
        case RelayMessage.Snapshot(var collection, var position, var items) -> {
          packer.packInt(SNAPSHOT).packInt(collection.ordinal()).packLong(position.revision());
          packItems(packer, items);
          packer.packLong(position.epoch());
        }
        case RelayMessage.Update(var collection, Changes changes, long graceMs) -> {
          packer
              .packInt(UPDATE)
              .packInt(collection.ordinal())
              .packLong(changes.position().revision());
          packItems(packer, changes.items());
          packer.packArrayHeader(changes.deleted().size());
          for (String name : changes.deleted()) {
            packer.packString(name);
          }
          packer.packLong(graceMs).packLong(changes.position().epoch());
        }
        case RelayMessage.CurrencyProof(long ageMs, var positions) -> {
          packer.packInt(CURRENCY_PROOF).packLong(ageMs).packMapHeader(positions.size());
          for (Map.Entry<Collection, StorePosition> entry : positions.entrySet()) {
            packer
                .packInt(entry.getKey().ordinal())
                .packLong(entry.getValue().epoch())
                .packLong(entry.getValue().revision());
          }
        }
      }
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("writing to memory failed", e);
    }
  }

  RelayMessage decode(byte[] bytes) throws RelayException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      int type = unpacker.unpackInt();
      return switch (type) {
        case SNAPSHOT -> {
          Collection collection = collection(unpacker);
          long revision = unpacker.unpackLong();
          List<Item> items = unpackItems(unpacker);
          yield new RelayMessage.Snapshot(
              collection, new StorePosition(unpacker.unpackLong(), revision), items);
        }
        case UPDATE -> {
          Collection collection = collection(unpacker);
          long revision = unpacker.unpackLong();
          List<Item> items = unpackItems(unpacker);
          Set<String> deleted = new HashSet<>();
          int count = unpacker.unpackArrayHeader();
          for (int i = 0; i < count; i++) {
            deleted.add(unpacker.unpackString());
          }
          long graceMs = unpackDurationMs(unpacker);
          StorePosition position = new StorePosition(unpacker.unpackLong(), revision);
          yield new RelayMessage.Update(collection, new Changes(items, deleted, position), graceMs);
        }
        case CURRENCY_PROOF -> {
          long ageMs = unpackDurationMs(unpacker);
          Map<Collection, StorePosition> positions = new EnumMap<>(Collection.class);
          int count = unpacker.unpackMapHeader();
          for (int i = 0; i < count; i++) {
            positions.put(
                collection(unpacker),
                new StorePosition(unpacker.unpackLong(), unpacker.unpackLong()));
          }
          yield new RelayMessage.CurrencyProof(ageMs, positions);
        }
        default -> throw new RelayException("unknown message type " + type);
      };
    } catch (IOException | RuntimeException e) {
      throw new RelayException(String.valueOf(e.getMessage()));
    }
  }

  private static long unpackDurationMs(MessageUnpacker unpacker) throws IOException {
    return Math.clamp(unpacker.unpackLong(), 0, MAX_DURATION_MS);
  }

  private static Collection collection(MessageUnpacker unpacker)
      throws IOException, RelayException {
    int ordinal = unpacker.unpackInt();
    if (ordinal < 0 || ordinal >= Collection.values().length) {
      throw new RelayException("unknown collection " + ordinal);
    }
    return Collection.values()[ordinal];
  }

  private void packItems(MessageBufferPacker packer, List<Item> items) throws IOException {
    packer.packArrayHeader(items.size());
    for (Item item : items) {
      packer.packString(item.name()).packLong(item.revision());
      switch (item.content()) {
        case Content.Plan(var plan) -> {
          packer.packInt(PLAN_WITH_TENANTS);
          PlanCodec.pack(packer, plan);
        }
        case Content.Backend(BackendInstance backend) -> {
          packer.packInt(BACKEND_WITH_VERSION);
          packBackend(packer, backend);
        }
        case Content.ZoneOut(ZoneName zone) -> packer.packInt(ZONE_OUT).packString(zone.value());
        case Content.Gateway(var gateway) ->
            packer
                .packInt(GATEWAY)
                .packString(gateway.name())
                .packString(gateway.zone().value())
                .packString(gateway.relayAddress().host())
                .packInt(gateway.relayAddress().port());
        case Content.Rollout(RolloutOrder order) -> {
          packer.packInt(ROLLOUT);
          packRollout(packer, order);
        }
        case Content.Unreadable _ -> packer.packInt(UNREADABLE);
      }
    }
  }

  private List<Item> unpackItems(MessageUnpacker unpacker) throws IOException {
    List<Item> items = new ArrayList<>();
    int count = unpacker.unpackArrayHeader();
    for (int i = 0; i < count; i++) {
      String name = unpacker.unpackString();
      long revision = unpacker.unpackLong();
      Content content =
          switch (unpacker.unpackInt()) {
            case PLAN -> new Content.Plan(PlanCodec.unpack(unpacker, false));
            case PLAN_WITH_TENANTS -> new Content.Plan(PlanCodec.unpack(unpacker, true));
            case BACKEND -> new Content.Backend(unpackBackend(unpacker, false));
            case BACKEND_WITH_VERSION -> new Content.Backend(unpackBackend(unpacker, true));
            case ZONE_OUT -> new Content.ZoneOut(new ZoneName(unpacker.unpackString()));
            case GATEWAY -> new Content.Gateway(unpackGateway(unpacker));
            case ROLLOUT -> new Content.Rollout(unpackRollout(unpacker, name, revision));
            default -> new Content.Unreadable("the sender could not decode it");
          };
      items.add(new Item(name, revision, content));
    }
    return items;
  }

  private static void packRollout(MessageBufferPacker packer, RolloutOrder order)
      throws IOException {
    packer
        .packString(order.service().value())
        .packString(order.target().value())
        .packLong(order.durationMs())
        .packString(order.status().map(status -> status.state().name()).orElse(""))
        .packString(order.status().map(status -> status.target().value()).orElse(""));
  }

  private static RolloutOrder unpackRollout(MessageUnpacker unpacker, String name, long revision)
      throws IOException {
    ServiceName service = new ServiceName(unpacker.unpackString());
    ServiceVersion target = new ServiceVersion(unpacker.unpackString());
    long durationMs = unpacker.unpackLong();
    String state = unpacker.unpackString();
    String statusTarget = unpacker.unpackString();
    Optional<RolloutStatus> status =
        state.isEmpty()
            ? Optional.empty()
            : Optional.of(
                new RolloutStatus(
                    RolloutStatus.State.valueOf(state), new ServiceVersion(statusTarget)));
    return new RolloutOrder(name, revision, service, target, durationMs, status);
  }

  private static GatewayEntry unpackGateway(MessageUnpacker unpacker) throws IOException {
    return new GatewayEntry(
        unpacker.unpackString(),
        new ZoneName(unpacker.unpackString()),
        new HostPort(unpacker.unpackString(), unpacker.unpackInt()));
  }

  private void packBackend(MessageBufferPacker packer, BackendInstance backend) throws IOException {
    packer
        .packString(backend.name().value())
        .packString(backend.service().value())
        .packString(backend.address().host())
        .packInt(backend.address().port())
        .packString(backend.zone().value())
        .packInt(backend.slots())
        .packBoolean(backend.leaving())
        .packLong(Math.max(0, (backend.coldUntilNs() - clock.nowNs()) / NS_PER_MS))
        .packLong(backend.startedUnixMs())
        .packLong(backend.sequence())
        .packString(backend.version().map(ServiceVersion::value).orElse(""));
  }

  /** Gateways of an earlier release send no version. */
  private BackendInstance unpackBackend(MessageUnpacker unpacker, boolean hasVersion)
      throws IOException {
    return new BackendInstance(
        new BackendName(unpacker.unpackString()),
        new ServiceName(unpacker.unpackString()),
        new HostPort(unpacker.unpackString(), unpacker.unpackInt()),
        new ZoneName(unpacker.unpackString()),
        unpacker.unpackInt(),
        unpacker.unpackBoolean(),
        clock.nowNs() + unpackDurationMs(unpacker) * NS_PER_MS,
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        Optional.of(hasVersion ? unpacker.unpackString() : "")
            .filter(v -> !v.isEmpty())
            .map(ServiceVersion::new));
  }
}
