package org.cowslipstair.adapters.peer;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.model.fleet.MemberState;
import org.cowslipstair.model.pool.PoolId;
import org.msgpack.core.MessageInsufficientBufferException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/** Reads the fields of messages from a frame; every fault ends in a {@link ProtocolException}. */
final class WireReader {
  private final MessageUnpacker unpacker;
  private final NameTable names;
  private final int lengthBytes;

  WireReader(byte[] frame, NameTable names) {
    this.unpacker = MessagePack.newDefaultUnpacker(frame);
    this.names = names;
    this.lengthBytes = frame.length;
  }

  /** Reads one value from the unpacker. */
  @FunctionalInterface
  private interface Operation<T> {
    T run() throws IOException, ProtocolException;
  }

  private static <T> T unpack(Operation<T> operation) throws ProtocolException {
    try {
      return operation.run();
    } catch (MessageInsufficientBufferException e) {
      throw new ProtocolException(ProtocolError.TRUNCATED, "frame ends inside a value");
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      throw malformed(String.valueOf(e.getMessage()));
    }
  }

  static ProtocolException malformed(String detail) {
    return new ProtocolException(ProtocolError.MALFORMED, detail);
  }

  boolean isAtEnd() {
    return remainingBytes() <= 0;
  }

  private long remainingBytes() {
    return lengthBytes - unpacker.getTotalReadBytes();
  }

  long readBytes() {
    return unpacker.getTotalReadBytes();
  }

  long integer() throws ProtocolException {
    return unpack(unpacker::unpackLong);
  }

  int integer(int min, int max) throws ProtocolException {
    long value = integer();
    if (value < min || value > max) {
      throw malformed("%d is not between %d and %d".formatted(value, min, max));
    }
    return (int) value;
  }

  boolean bool() throws ProtocolException {
    return unpack(unpacker::unpackBoolean);
  }

  String text() throws ProtocolException {
    return unpack(
        () -> new String(payload(unpacker.unpackRawStringHeader()), StandardCharsets.UTF_8));
  }

  byte[] bytes() throws ProtocolException {
    return unpack(() -> payload(unpacker.unpackBinaryHeader()));
  }

  private byte[] payload(int sizeBytes) throws IOException, ProtocolException {
    if (sizeBytes > remainingBytes()) {
      throw new ProtocolException(
          ProtocolError.TRUNCATED, "value of %d bytes exceeds its frame".formatted(sizeBytes));
    }
    return unpacker.readPayload(sizeBytes);
  }

  /** Reads the number of items that follow; each takes at least one byte. */
  int count() throws ProtocolException {
    int count = unpack(unpacker::unpackArrayHeader);
    if (count > remainingBytes()) {
      throw new ProtocolException(
          ProtocolError.TRUNCATED, "%d items exceed their frame".formatted(count));
    }
    return count;
  }

  String name() throws ProtocolException {
    if (unpack(() -> unpacker.getNextFormat().getValueType()) == ValueType.INTEGER) {
      long number = integer();
      return names.name(number).orElseThrow(() -> malformed("name " + number + " is not agreed"));
    }
    String name = text();
    names.add(name);
    return name;
  }

  PoolId pool() throws ProtocolException {
    String name = name();
    int slash = name.indexOf('/');
    if (slash < 0) {
      throw malformed("pool without zone");
    }
    return unpack(
        () ->
            new PoolId(
                new ServiceName(name.substring(0, slash)),
                new ZoneName(name.substring(slash + 1))));
  }

  ZoneName zone() throws ProtocolException {
    return unpack(() -> new ZoneName(name()));
  }

  GatewayId gateway() throws ProtocolException {
    return unpack(() -> new GatewayId(new GatewayName(name()), integer()));
  }

  HostPort address() throws ProtocolException {
    return unpack(() -> new HostPort(name(), (int) integer()));
  }

  Member member() throws ProtocolException {
    return new Member(gateway(), zone(), address(), constant(MemberState.values()));
  }

  <E extends Enum<E>> E constant(E[] values) throws ProtocolException {
    return values[integer(0, values.length - 1)];
  }
}
