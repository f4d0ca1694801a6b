package org.cowslipstair.logic.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.fleet.Member;
import org.cowslipstair.model.fleet.MemberState;

/**
 * The fleet as one gateway sees it at one moment. Immutable.
 *
 * @param number rises with each change of the view
 * @param members all members that are not dead, the viewer included, ordered by name
 * @param isolated whether the viewer must refuse new work because it may miss configuration
 */
public record FleetView(long number, GatewayId self, List<Member> members, boolean isolated) {
  /** Copies the members. */
  public FleetView {
    members = List.copyOf(members);
  }

  /** Returns the members that take broker roles. */
  public List<Member> liveMembers() {
    List<Member> live = new ArrayList<>();
    for (Member member : members) {
      if (member.state() == MemberState.LIVE) {
        live.add(member);
      }
    }
    return live;
  }

  /** Finds a member by name. */
  public Optional<Member> member(GatewayName name) {
    for (Member member : members) {
      if (member.id().name().equals(name)) {
        return Optional.of(member);
      }
    }
    return Optional.empty();
  }
}
