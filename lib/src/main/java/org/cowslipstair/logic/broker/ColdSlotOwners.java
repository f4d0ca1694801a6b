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
 * Divides cold backend servers between the sides of a partition. Each belongs to one gateway of the
 * fleet as it was before members were lost; only the side of that gateway sends it calls. A lost
 * member counts until it returns, is replaced under its name, or has been gone for long.
 */
public final class ColdSlotOwners {
  private final long rememberNs;
  private final Map<GatewayName, Lost> lost = new HashMap<>();
  private final Map<BackendName, Boolean> mine = new HashMap<>();
  private Optional<FleetView> view = Optional.empty();

  private record Lost(Member member, long forgetAtNs) {}

  /**
   * Creates owners without a fleet.
   *
   * @param rememberNs time for which a lost member counts
   */
  public ColdSlotOwners(long rememberNs) {
    this.rememberNs = rememberNs;
  }

  /** Takes a new view of the fleet. */
  public void onView(FleetView newView, long nowNs) {
    mine.clear();
    if (view.isPresent()) {
      for (Member before : view.get().liveMembers()) {
        lost.put(before.id().name(), new Lost(before, nowNs + rememberNs));
      }
    }
    for (Member member : newView.members()) {
      lost.remove(member.id().name());
    }
    view = Optional.of(newView);
  }

  /** Forgets members that have been gone for long. */
  public void tick(long nowNs) {
    if (lost.values().removeIf(member -> member.forgetAtNs() <= nowNs)) {
      mine.clear();
    }
  }

  /** Returns whether this side of the fleet may send calls to a cold backend server. */
  public boolean isOnThisSide(BackendName backend) {
    if (lost.isEmpty() || view.isEmpty()) {
      return true;
    }
    return mine.computeIfAbsent(backend, name -> isOwnerPresent(name, view.get()));
  }

  private boolean isOwnerPresent(BackendName backend, FleetView present) {
    List<Member> members = new ArrayList<>(present.liveMembers());
    for (Lost gone : lost.values()) {
      members.add(gone.member());
    }
    FleetView whole = new FleetView(present.number(), present.self(), members, false);
    Optional<Member> owner = BrokerPlacement.fallbackOwner(backend, 0, whole);
    return owner.isEmpty() || !lost.containsKey(owner.get().id().name());
  }
}
