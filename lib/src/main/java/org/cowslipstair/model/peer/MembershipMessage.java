package org.cowslipstair.model.peer;

import java.util.List;
import org.cowslipstair.model.config.ConfigVersion;
import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.model.pool.PoolId;

/** Messages for tracking which gateways are live. */
public sealed interface MembershipMessage extends PeerMessage {
  /** First message on each connection; identifies the sender. */
  record Hello(int protocolVersion, Member sender) implements MembershipMessage {}

  /**
   * Periodic message that shows that the sender is alive, with its status.
   *
   * @param sequence increases by one with each heartbeat of the same process
   * @param intervalMs time until the next heartbeat
   * @param config version of the configuration that the sender has in force
   * @param storeContactAgeMs time since the store last confirmed the sender's configuration
   * @param freeSlots free slots of the pools that the sender is the broker of
   */
  record Heartbeat(
      long sequence,
      Member sender,
      long intervalMs,
      ConfigVersion config,
      long storeContactAgeMs,
      List<PoolFreeSlots> freeSlots)
      implements MembershipMessage {
    /** Copies the list. */
    public Heartbeat {
      freeSlots = List.copyOf(freeSlots);
    }
  }

  /** Number of free slots in a pool. */
  record PoolFreeSlots(PoolId pool, int free) {}

  /** The sender and its live or leaving peers; the receiver connects to those it does not know. */
  record Roster(List<Member> members) implements MembershipMessage {
    /** Copies the list. */
    public Roster {
      members = List.copyOf(members);
    }
  }

  /** Notifies the receiver that a newer process has the same name. */
  record Superseded(Member by) implements MembershipMessage {}
}
