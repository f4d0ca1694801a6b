package org.cowslipstair.adapters.platform;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.ObjectKind;
import org.cowslipstair.model.config.RevisionRange;
import org.cowslipstair.model.config.StoreId;
import org.cowslipstair.model.config.StoreRevision;
import org.cowslipstair.model.config.StoredObject;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.fleet.InstanceEntry;
import org.cowslipstair.port.PlatformStore.ObjectBatch;
import org.cowslipstair.port.StoreException;
import org.jspecify.annotations.Nullable;

/** Reads the JSON of the platform's object API. */
final class WireJson {
  private static final ObjectMapper MAPPER = JsonMapper.builder().build();

  private WireJson() {}

  @JsonIgnoreProperties(ignoreUnknown = true)
  private record WireObject(
      String kind,
      String name,
      long epoch,
      long version,
      @Nullable String changeId,
      boolean deleted,
      @Nullable JsonNode body) {}

  @JsonIgnoreProperties(ignoreUnknown = true)
  private record WireBatch(
      String storeId,
      long epoch,
      long revision,
      @Nullable List<WireReturn> returns,
      List<WireObject> objects) {}

  @JsonIgnoreProperties(ignoreUnknown = true)
  private record WireReturn(long epoch, long copyEpoch, long copyRevision) {}

  @JsonIgnoreProperties(ignoreUnknown = true)
  private record WireConflict(@Nullable WireObject current) {}

  @JsonIgnoreProperties(ignoreUnknown = true)
  private record WireInstance(
      String name, String zone, String peerAddress, String adminAddress, boolean leaving) {}

  @JsonIgnoreProperties(ignoreUnknown = true)
  private record WireInstances(List<WireInstance> instances) {}

  static ObjectBatch batch(String operation, String json) throws StoreException {
    WireBatch batch = parse(operation, json, WireBatch.class);
    if (batch.storeId() == null || batch.objects() == null) {
      throw new StoreException.Malformed(operation, "answer lacks storeId or objects");
    }
    List<StoredObject> objects = new ArrayList<>();
    for (WireObject object : batch.objects()) {
      objects.add(stored(operation, object));
    }
    return new ObjectBatch(
        new StoreId(batch.storeId()),
        revision(operation, batch.epoch(), batch.revision()),
        lost(operation, batch),
        objects);
  }

  private static List<RevisionRange> lost(String operation, WireBatch batch) throws StoreException {
    List<RevisionRange> lost = new ArrayList<>();
    for (WireReturn back : batch.returns() == null ? List.<WireReturn>of() : batch.returns()) {
      if (back == null) {
        throw new StoreException.Malformed(operation, "return is null");
      }
      lost.add(
          new RevisionRange(
              revision(operation, back.copyEpoch(), back.copyRevision()),
              revision(operation, back.epoch(), 0)));
    }
    return lost;
  }

  private static long revision(String operation, long epoch, long number) throws StoreException {
    try {
      return StoreRevision.of(epoch, number);
    } catch (IllegalArgumentException e) {
      throw new StoreException.Malformed(operation, String.valueOf(e.getMessage()));
    }
  }

  static StoredObject object(String operation, String json) throws StoreException {
    return stored(operation, parse(operation, json, WireObject.class));
  }

  static Optional<StoredObject> conflict(String operation, String json) throws StoreException {
    WireObject current = parse(operation, json, WireConflict.class).current();
    return current == null ? Optional.empty() : Optional.of(stored(operation, current));
  }

  static List<InstanceEntry> instances(String operation, String json) throws StoreException {
    WireInstances list = parse(operation, json, WireInstances.class);
    if (list.instances() == null) {
      throw new StoreException.Malformed(operation, "answer lacks instances");
    }
    List<InstanceEntry> entries = new ArrayList<>();
    for (WireInstance instance : list.instances()) {
      entries.add(entry(operation, instance));
    }
    return List.copyOf(entries);
  }

  private static InstanceEntry entry(String operation, WireInstance instance)
      throws StoreException {
    try {
      return new InstanceEntry(
          new GatewayName(instance.name()),
          new ZoneName(instance.zone()),
          HostPort.parse(instance.peerAddress()).orElseThrow(IllegalArgumentException::new),
          HostPort.parse(instance.adminAddress()).orElseThrow(IllegalArgumentException::new),
          instance.leaving());
    } catch (IllegalArgumentException | NullPointerException _) {
      throw new StoreException.Malformed(operation, "bad instance " + instance);
    }
  }

  private static StoredObject stored(String operation, @Nullable WireObject object)
      throws StoreException {
    if (object == null) {
      throw new StoreException.Malformed(operation, "object is null");
    }
    Optional<ObjectKind> kind = ObjectKind.fromWireName(String.valueOf(object.kind()));
    if (kind.isEmpty() || !ObjectKey.isValidName(String.valueOf(object.name()))) {
      String key = object.kind() + "/" + object.name();
      throw new StoreException.Malformed(operation, "bad object key " + key);
    }
    String changeId = object.changeId() == null ? "" : object.changeId();
    String body = object.body() == null ? "" : object.body().toString();
    ObjectKey key = new ObjectKey(kind.get(), object.name());
    return new StoredObject(
        key,
        revision(operation, object.epoch(), object.version()),
        changeId,
        object.deleted(),
        object.deleted() ? "" : body);
  }

  private static <T> T parse(String operation, String json, Class<T> type) throws StoreException {
    try {
      T value = MAPPER.readValue(json, type);
      if (value == null) {
        throw new StoreException.Malformed(operation, "answer is null");
      }
      return value;
    } catch (JsonProcessingException e) {
      throw new StoreException.Malformed(operation, e.getOriginalMessage());
    }
  }
}
