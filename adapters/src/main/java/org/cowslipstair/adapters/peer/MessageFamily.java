package org.cowslipstair.adapters.peer;

import org.cowslipstair.model.peer.ConfigMessage;
import org.cowslipstair.model.peer.LeaseMessage;
import org.cowslipstair.model.peer.MembershipMessage;
import org.cowslipstair.model.peer.PeerMessage;

/** Families of messages, by which traffic is counted. */
public enum MessageFamily {
  MEMBERSHIP,
  LEASE,
  CONFIG;

  static MessageFamily of(PeerMessage message) {
    return switch (message) {
      case MembershipMessage _ -> MEMBERSHIP;
      case LeaseMessage _ -> LEASE;
      case ConfigMessage _ -> CONFIG;
    };
  }
}
