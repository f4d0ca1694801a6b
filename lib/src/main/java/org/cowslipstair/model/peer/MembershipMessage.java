package org.cowslipstair.model.peer;

import java.util.List;
import org.cowslipstair.model.config.ConfigVersion;
import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.model.pool.PoolId;

/** Messages that keep the list of live gateways. */
public sealed interface MembershipMessage extends PeerMessage {
  /** First message on each connection: who the sender is. */
  record Hello(int protocolVersion, Member sender) implements MembershipMessage {}

  /**
   * Sign of life.
   *
   * @param sequence rises by one with each heartbeat of this process life
   * @param intervalMs time until the next heartbeat
   * @param config configuration that the sender has in force
   * @param storeContactAgeMs time since the store last confirmed the sender's configuration
   * @param freeSlots free slots of the pools whose broker is the sender
   */
  record Heartbeat(
      long sequence,
      Member sender,
      long intervalMs,
      ConfigVersion config,
      long storeContactAgeMs,
      List<PoolFree> freeSlots)
      implements MembershipMessage {
    /** Copies the list. */
    public Heartbeat {
      freeSlots = List.copyOf(freeSlots);
    }
  }

  /** Free slots of one pool. */
  record PoolFree(PoolId pool, int free) {}

  /** Members that the sender is connected to; the receiver dials those that it does not know. */
  record Roster(List<Member> members) implements MembershipMessage {
    /** Copies the list. */
    public Roster {
      members = List.copyOf(members);
    }
  }

  /** Tells the receiver that a newer process has its name. */
  record Superseded(Member by) implements MembershipMessage {}
}
