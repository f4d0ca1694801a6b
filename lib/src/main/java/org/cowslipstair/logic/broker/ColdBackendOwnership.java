package org.cowslipstair.logic.broker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cowslipstair.logic.membership.BrokerPlacement;
import org.cowslipstair.logic.membership.FleetView;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.fleet.Member;

/**
 * Divides cold backend servers between the sides of a network partition. Each is owned by one
 * gateway of the fleet, lost members included; only the owner's side sends it calls. A lost member
 * counts until it returns, is replaced under its name, or its retention time has passed.
 */
public final class ColdBackendOwnership {
  private final long lostMemberRetentionNs;
  private final Map<GatewayName, LostMember> lostMembers = new HashMap<>();
  private final Map<BackendName, Boolean> ownedByThisSide = new HashMap<>();
  private Optional<FleetView> view = Optional.empty();

  private record LostMember(Member member, long forgetAtNs) {}

  /**
   * Creates an instance without a view of the fleet.
   *
   * @param lostMemberRetentionNs time for which a lost member counts as an owner
   */
  public ColdBackendOwnership(long lostMemberRetentionNs) {
    this.lostMemberRetentionNs = lostMemberRetentionNs;
  }

  /** Applies a new view of the fleet. */
  public void onView(FleetView newView, long nowNs) {
    ownedByThisSide.clear();
    if (view.isPresent()) {
      for (Member previous : view.get().liveMembers()) {
        lostMembers.put(
            previous.id().name(), new LostMember(previous, nowNs + lostMemberRetentionNs));
      }
    }
    for (Member member : newView.members()) {
      lostMembers.remove(member.id().name());
    }
    view = Optional.of(newView);
  }

  /** Removes lost members whose retention time has passed. */
  public void tick(long nowNs) {
    if (lostMembers.values().removeIf(member -> member.forgetAtNs() <= nowNs)) {
      ownedByThisSide.clear();
    }
  }

  /** Returns whether this side of a partition may send calls to a cold backend server. */
  public boolean isOwnedByThisSide(BackendName backend) {
    if (lostMembers.isEmpty() || view.isEmpty()) {
      return true;
    }
    return ownedByThisSide.computeIfAbsent(backend, name -> isOwnerPresent(name, view.get()));
  }

  private boolean isOwnerPresent(BackendName backend, FleetView currentView) {
    List<Member> members = new ArrayList<>(currentView.liveMembers());
    for (LostMember lostMember : lostMembers.values()) {
      members.add(lostMember.member());
    }
    FleetView viewWithLost =
        new FleetView(currentView.number(), currentView.self(), members, false);
    Optional<Member> owner = BrokerPlacement.fallbackSlotOwner(backend, 0, viewWithLost);
    return owner.isEmpty() || !lostMembers.containsKey(owner.get().id().name());
  }
}
