package org.cowslipstair.adapters.peer;

import java.util.ArrayList;
import java.util.List;
import org.cowslipstair.model.config.ConfigVersion;
import org.cowslipstair.model.config.StoreId;
import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.model.fleet.MemberState;
import org.cowslipstair.model.peer.MembershipMessage;
import org.cowslipstair.model.peer.MembershipMessage.Heartbeat;
import org.cowslipstair.model.peer.MembershipMessage.Hello;
import org.cowslipstair.model.peer.MembershipMessage.PoolFreeSlots;
import org.cowslipstair.model.peer.MembershipMessage.Roster;
import org.cowslipstair.model.peer.MembershipMessage.Superseded;

/** Wire form of the messages that keep the list of live gateways. */
final class MembershipMessageCodec {
  static final int FIRST_TYPE = 1;
  private static final int HELLO = FIRST_TYPE;
  private static final int HEARTBEAT = FIRST_TYPE + 1;
  private static final int ROSTER = FIRST_TYPE + 2;
  private static final int SUPERSEDED = FIRST_TYPE + 3;
  static final int LAST_TYPE = SUPERSEDED;
  private static final int MAX_VERSION = 1 << 16;

  private MembershipMessageCodec() {}

  static void write(MembershipMessage message, WireWriter out) {
    switch (message) {
      case Hello hello -> {
        out.integer(HELLO);
        out.integer(hello.protocolVersion());
        out.member(hello.sender());
      }
      case Heartbeat heartbeat -> writeHeartbeat(heartbeat, out);
      case Roster roster -> {
        out.integer(ROSTER);
        out.count(roster.members());
        roster.members().forEach(out::member);
      }
      case Superseded superseded -> {
        out.integer(SUPERSEDED);
        out.member(superseded.by());
      }
    }
  }

  /** Leaves out what the handshake told of the sender already. */
  private static void writeHeartbeat(Heartbeat heartbeat, WireWriter out) {
    ConfigVersion config = heartbeat.config();
    out.integer(HEARTBEAT);
    out.integer(heartbeat.sequence());
    out.constant(heartbeat.sender().state());
    out.integer(heartbeat.intervalMs());
    out.name(config.storeId().value());
    out.integer(config.storeTerm());
    out.integer(config.revision());
    out.integer(config.digest());
    out.integer(heartbeat.storeContactAgeMs());
    out.count(heartbeat.freeSlots());
    for (PoolFreeSlots free : heartbeat.freeSlots()) {
      out.pool(free.pool());
      out.integer(free.free());
    }
  }

  static MembershipMessage read(int type, WireReader in, Member sender) throws ProtocolException {
    return switch (type) {
      case HELLO -> new Hello(in.integer(0, MAX_VERSION), in.member());
      case HEARTBEAT -> readHeartbeat(in, sender);
      case ROSTER -> readRoster(in);
      case SUPERSEDED -> new Superseded(in.member());
      default -> throw new ProtocolException(ProtocolError.UNKNOWN_TYPE, "type " + type);
    };
  }

  private static Heartbeat readHeartbeat(WireReader in, Member sender) throws ProtocolException {
    long sequence = in.integer();
    MemberState state = in.constant(MemberState.values());
    long intervalMs = in.integer(0, Integer.MAX_VALUE);
    ConfigVersion config =
        new ConfigVersion(new StoreId(in.name()), in.integer(), in.integer(), in.integer());
    long storeContactAgeMs = in.integer(0, Integer.MAX_VALUE);
    int count = in.count();
    List<PoolFreeSlots> freeSlots = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      freeSlots.add(new PoolFreeSlots(in.pool(), in.integer(0, Integer.MAX_VALUE)));
    }
    Member current = new Member(sender.id(), sender.zone(), sender.peerAddress(), state);
    return new Heartbeat(sequence, current, intervalMs, config, storeContactAgeMs, freeSlots);
  }

  private static Roster readRoster(WireReader in) throws ProtocolException {
    int count = in.count();
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      members.add(in.member());
    }
    return new Roster(members);
  }
}
