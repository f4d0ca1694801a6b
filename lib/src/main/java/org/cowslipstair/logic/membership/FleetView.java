package org.cowslipstair.logic.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.model.fleet.MemberState;

/**
 * Immutable snapshot of the fleet as seen by one gateway.
 *
 * @param number increases with each change of the view
 * @param self gateway that has this view
 * @param members all members that are not dead, including {@code self}, ordered by name
 * @param refusesNewWork whether {@code self} must refuse new work: it may miss configuration
 *     changes, or a newer process has its name
 */
public record FleetView(long number, GatewayId self, List<Member> members, boolean refusesNewWork) {
  /** Copies the members. */
  public FleetView {
    members = List.copyOf(members);
  }

  /** Returns the live members, which are eligible as brokers. */
  public List<Member> liveMembers() {
    List<Member> live = new ArrayList<>();
    for (Member member : members) {
      if (member.state() == MemberState.LIVE) {
        live.add(member);
      }
    }
    return live;
  }

  /** Returns the member with the given name; empty if there is none. */
  public Optional<Member> member(GatewayName name) {
    for (Member member : members) {
      if (member.id().name().equals(name)) {
        return Optional.of(member);
      }
    }
    return Optional.empty();
  }
}
