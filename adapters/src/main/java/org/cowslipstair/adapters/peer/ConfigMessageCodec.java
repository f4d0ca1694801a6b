package org.cowslipstair.adapters.peer;

import java.util.ArrayList;
import java.util.List;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.ObjectKind;
import org.cowslipstair.model.config.RevisionRange;
import org.cowslipstair.model.config.StoreId;
import org.cowslipstair.model.config.StoredObject;
import org.cowslipstair.model.peer.ConfigMessage;
import org.cowslipstair.model.peer.ConfigMessage.AcceptStore;
import org.cowslipstair.model.peer.ConfigMessage.ConfigObjects;
import org.cowslipstair.model.peer.ConfigMessage.ConfigRequest;

/** Wire form of the messages that pass configuration on. */
final class ConfigMessageCodec {
  static final int FIRST_TYPE = 64;
  private static final int REQUEST = FIRST_TYPE;
  private static final int OBJECTS = FIRST_TYPE + 1;
  private static final int ACCEPT = FIRST_TYPE + 2;
  static final int LAST_TYPE = ACCEPT;
  private static final int MAX_PARTS = 1 << 16;

  private ConfigMessageCodec() {}

  static void write(ConfigMessage message, WireWriter out) {
    switch (message) {
      case ConfigRequest request -> {
        out.integer(REQUEST);
        out.name(request.storeId().value());
        out.integer(request.storeTerm());
        out.integer(request.afterRevision());
      }
      case ConfigObjects objects -> writeObjects(objects, out);
      case AcceptStore accept -> {
        out.integer(ACCEPT);
        out.name(accept.storeId().value());
        out.integer(accept.storeTerm());
      }
    }
  }

  private static void writeObjects(ConfigObjects message, WireWriter out) {
    out.integer(OBJECTS);
    out.name(message.storeId().value());
    out.integer(message.storeTerm());
    out.integer(message.afterRevision());
    out.integer(message.revision());
    out.integer(message.part());
    out.integer(message.parts());
    out.count(message.lost());
    for (RevisionRange range : message.lost()) {
      out.integer(range.after());
      out.integer(range.before());
    }
    out.count(message.objects());
    for (StoredObject object : message.objects()) {
      out.constant(object.key().kind());
      out.text(object.key().name());
      out.integer(object.version());
      out.text(object.changeId());
      out.bool(object.deleted());
      out.text(object.json());
    }
  }

  static ConfigMessage read(int type, WireReader in) throws ProtocolException {
    return switch (type) {
      case REQUEST -> new ConfigRequest(new StoreId(in.name()), in.integer(), in.integer());
      case OBJECTS -> readObjects(in);
      case ACCEPT -> new AcceptStore(new StoreId(in.name()), in.integer());
      default -> throw new ProtocolException(ProtocolError.UNKNOWN_TYPE, "type " + type);
    };
  }

  private static ConfigObjects readObjects(WireReader in) throws ProtocolException {
    StoreId storeId = new StoreId(in.name());
    long storeTerm = in.integer();
    long afterRevision = in.integer();
    long revision = in.integer();
    int part = in.integer(0, MAX_PARTS);
    int parts = in.integer(1, MAX_PARTS);
    int returns = in.count();
    List<RevisionRange> lost = new ArrayList<>();
    for (int i = 0; i < returns; i++) {
      lost.add(new RevisionRange(in.integer(), in.integer()));
    }
    int count = in.count();
    List<StoredObject> objects = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      objects.add(readObject(in));
    }
    return new ConfigObjects(
        storeId, storeTerm, afterRevision, revision, part, parts, lost, objects);
  }

  private static StoredObject readObject(WireReader in) throws ProtocolException {
    ObjectKind kind = in.constant(ObjectKind.values());
    String name = in.text();
    if (!ObjectKey.isValidName(name)) {
      throw WireReader.malformed("object name");
    }
    return new StoredObject(
        new ObjectKey(kind, name), in.integer(), in.text(), in.bool(), in.text());
  }
}
