package org.cowslipstair.edge;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.Value;
import org.msgpack.value.ValueFactory;

/** Malformed messages that are close to well-formed ones. */
public final class Mutations {
  private static final byte[] SPECIAL_BYTES = {
    0, 1, 9, 10, 13, 32, 34, 44, 45, 58, 127, -128, -64, -54, -53, -49, -45, -39, -36, -33, -1
  };

  private static final long[] SPECIAL_NUMBERS = {
    0,
    1,
    -1,
    2,
    3,
    255,
    65_536,
    Integer.MAX_VALUE,
    Integer.MIN_VALUE,
    Long.MAX_VALUE,
    Long.MIN_VALUE
  };
  private static final double[] SPECIAL_RATES = {
    0, -1, 1e-300, 1e300, Double.NaN, Double.POSITIVE_INFINITY, Double.NEGATIVE_INFINITY
  };
  private static final String[] SPECIAL_TEXTS = {
    "", "a", "/", "a b", "a\r\nX: y", "\0", "é", "x".repeat(5_000), "127.0.0.1:1"
  };

  private Mutations() {}

  /** Returns a copy with a few bytes changed, removed, repeated or added. */
  public static byte[] mutate(byte[] message, Random random) {
    byte[] mutated = message.clone();
    int edits = 1 + random.nextInt(4);
    for (int i = 0; i < edits; i++) {
      mutated = edit(mutated, random);
    }
    return mutated;
  }

  private static byte[] edit(byte[] message, Random random) {
    if (message.length == 0) {
      return new byte[] {special(random)};
    }
    int from = random.nextInt(message.length);
    int to = Math.min(message.length, from + 1 + random.nextInt(8));
    byte[] edited = message.clone();
    return switch (random.nextInt(6)) {
      case 0 -> {
        edited[from] = special(random);
        yield edited;
      }
      case 1 -> {
        edited[from] = (byte) random.nextInt();
        yield edited;
      }
      case 2 ->
          concat(Arrays.copyOf(message, from), Arrays.copyOfRange(message, to, message.length));
      case 3 ->
          concat(Arrays.copyOf(message, to), Arrays.copyOfRange(message, from, message.length));
      case 4 ->
          concat(
              concat(Arrays.copyOf(message, from), new byte[] {special(random)}),
              Arrays.copyOfRange(message, from, message.length));
      default -> random.nextInt(4) == 0 ? Arrays.copyOf(message, from) : edited;
    };
  }

  /**
   * Returns a copy of a MessagePack message in which one value is another one, often a strange one.
   */
  public static byte[] mutateValue(byte[] message, Random random) throws IOException {
    List<Value> values = new ArrayList<>();
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(message)) {
      while (unpacker.hasNext()) {
        values.add(unpacker.unpackValue());
      }
    }
    int changed = 1 + random.nextInt(values.size() - 1);
    values.set(changed, changed(values.get(changed), random));
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      for (Value value : values) {
        packer.packValue(value);
      }
      return packer.toByteArray();
    }
  }

  private static Value changed(Value value, Random random) {
    if (value.isArrayValue() && value.asArrayValue().size() > 0) {
      List<Value> elements = new ArrayList<>(value.asArrayValue().list());
      int index = random.nextInt(elements.size());
      elements.set(index, changed(elements.get(index), random));
      return ValueFactory.newArray(elements);
    }
    return switch (random.nextInt(3)) {
      case 0 -> ValueFactory.newInteger(SPECIAL_NUMBERS[random.nextInt(SPECIAL_NUMBERS.length)]);
      case 1 -> ValueFactory.newFloat(SPECIAL_RATES[random.nextInt(SPECIAL_RATES.length)]);
      default -> ValueFactory.newString(SPECIAL_TEXTS[random.nextInt(SPECIAL_TEXTS.length)]);
    };
  }

  private static byte special(Random random) {
    return SPECIAL_BYTES[random.nextInt(SPECIAL_BYTES.length)];
  }

  private static byte[] concat(byte[] first, byte[] second) {
    byte[] both = Arrays.copyOf(first, first.length + second.length);
    System.arraycopy(second, 0, both, first.length, second.length);
    return both;
  }
}
