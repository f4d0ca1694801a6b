package org.cowslipstair.adapters.peer;

import java.util.Map;

/**
 * Traffic with one peer, or with all of them, since the start.
 *
 * @param framesOut frames written, each by one call of the socket
 * @param framesIn frames read
 * @param out messages and payload bytes written, by family
 * @param in messages and payload bytes read, by family
 * @param dropped messages that no open connection took
 * @param overflows connections that were closed because too many messages waited
 */
public record PeerTraffic(
    long framesOut,
    long framesIn,
    Map<MessageFamily, FamilyTraffic> out,
    Map<MessageFamily, FamilyTraffic> in,
    long dropped,
    long overflows) {
  /** Copies the maps. */
  public PeerTraffic {
    out = Map.copyOf(out);
    in = Map.copyOf(in);
  }

  /** Messages and payload bytes of one family in one direction. */
  public record FamilyTraffic(long messages, long bytes) {}

  /** Returns the payload bytes written. */
  public long bytesOut() {
    return out.values().stream().mapToLong(FamilyTraffic::bytes).sum();
  }

  /** Returns the payload bytes read. */
  public long bytesIn() {
    return in.values().stream().mapToLong(FamilyTraffic::bytes).sum();
  }
}
