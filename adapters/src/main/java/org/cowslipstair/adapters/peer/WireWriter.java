package org.cowslipstair.adapters.peer;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Collection;
import java.util.Optional;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.model.pool.PoolId;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Writes the fields of messages into a buffer. */
final class WireWriter {
  private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
  private final NameTable names;
  private long takenBytes;

  WireWriter(NameTable names) {
    this.names = names;
  }

  /** An operation on the packer; writes to memory, so it does not fail. */
  @FunctionalInterface
  private interface Operation {
    void run() throws IOException;
  }

  private static void pack(Operation operation) {
    try {
      operation.run();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  void integer(long value) {
    pack(() -> packer.packLong(value));
  }

  void bool(boolean value) {
    pack(() -> packer.packBoolean(value));
  }

  void text(String value) {
    pack(() -> packer.packString(value));
  }

  void bytes(byte[] value) {
    pack(
        () -> {
          packer.packBinaryHeader(value.length);
          packer.writePayload(value);
        });
  }

  void count(Collection<?> items) {
    pack(() -> packer.packArrayHeader(items.size()));
  }

  void name(String value) {
    Optional<Integer> number = names.number(value);
    if (number.isPresent()) {
      integer(number.get());
      return;
    }
    text(value);
    names.add(value);
  }

  void pool(PoolId pool) {
    name(pool.service() + "/" + pool.zone());
  }

  void gateway(GatewayId id) {
    name(id.name().value());
    integer(id.incarnation());
  }

  void address(HostPort address) {
    name(address.host());
    integer(address.port());
  }

  void member(Member member) {
    gateway(member.id());
    name(member.zone().value());
    address(member.peerAddress());
    constant(member.state());
  }

  void constant(Enum<?> value) {
    integer(value.ordinal());
  }

  /** Returns the number of bytes written since the last {@link #take}. */
  int sizeBytes() {
    return Math.toIntExact(packer.getTotalWrittenBytes() - takenBytes);
  }

  byte[] take() {
    byte[] bytes = packer.toByteArray();
    packer.clear();
    takenBytes = packer.getTotalWrittenBytes();
    return bytes;
  }
}
