package org.cowslipstair.adapters.peer;

import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.model.peer.ConfigMessage;
import org.cowslipstair.model.peer.LeaseMessage;
import org.cowslipstair.model.peer.MembershipMessage;
import org.cowslipstair.model.peer.PeerMessage;

/** Wire form of all messages between gateways. */
final class PeerCodec {
  private PeerCodec() {}

  static void write(PeerMessage message, WireWriter out) {
    switch (message) {
      case MembershipMessage membership -> MembershipMessageCodec.write(membership, out);
      case LeaseMessage lease -> LeaseMessageCodec.write(lease, out);
      case ConfigMessage config -> ConfigMessageCodec.write(config, out);
    }
  }

  /**
   * Reads one message.
   *
   * @param sender the peer, as it named itself in the handshake
   */
  static PeerMessage read(WireReader in, Member sender) throws ProtocolException {
    int type = in.integer(0, Byte.MAX_VALUE);
    if (isBetween(type, MembershipMessageCodec.FIRST_TYPE, MembershipMessageCodec.LAST_TYPE)) {
      return MembershipMessageCodec.read(type, in, sender);
    }
    if (isBetween(type, LeaseMessageCodec.FIRST_TYPE, LeaseMessageCodec.LAST_TYPE)) {
      return LeaseMessageReader.read(type, in);
    }
    return ConfigMessageCodec.read(type, in);
  }

  private static boolean isBetween(int type, int first, int last) {
    return type >= first && type <= last;
  }
}
