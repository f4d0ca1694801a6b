package org.cowslipstair.model.peer;

/** A message from one gateway to another. */
public sealed interface PeerMessage permits MembershipMessage, LeaseMessage, ConfigMessage {}
