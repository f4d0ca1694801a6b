package org.cowslipstair.adapters.peer;

import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.peer.LeaseMessage;
import org.cowslipstair.model.peer.LeaseMessage.Acquire;
import org.cowslipstair.model.peer.LeaseMessage.CancelAcquire;
import org.cowslipstair.model.peer.LeaseMessage.Grant;
import org.cowslipstair.model.peer.LeaseMessage.HandOver;
import org.cowslipstair.model.peer.LeaseMessage.HandOverBackend;
import org.cowslipstair.model.peer.LeaseMessage.HandOverLease;
import org.cowslipstair.model.peer.LeaseMessage.HeldLease;
import org.cowslipstair.model.peer.LeaseMessage.HeldLeases;
import org.cowslipstair.model.peer.LeaseMessage.HeldLeasesRequest;
import org.cowslipstair.model.peer.LeaseMessage.Recall;
import org.cowslipstair.model.peer.LeaseMessage.Refuse;
import org.cowslipstair.model.peer.LeaseMessage.Release;
import org.cowslipstair.model.peer.LeaseMessage.Reuse;
import org.cowslipstair.model.peer.LeaseMessage.Withdraw;
import org.cowslipstair.model.peer.LeaseMessage.ZoneFreeSlots;
import org.cowslipstair.model.pool.BackendState;
import org.cowslipstair.model.pool.CallReport;

/** Writes the messages between brokers and lessees. */
final class LeaseMessageCodec {
  static final int FIRST_TYPE = 16;
  static final int ACQUIRE = FIRST_TYPE;
  static final int CANCEL = FIRST_TYPE + 1;
  static final int GRANT = FIRST_TYPE + 2;
  static final int REFUSE = FIRST_TYPE + 3;
  static final int REUSE = FIRST_TYPE + 4;
  static final int RELEASE = FIRST_TYPE + 5;
  static final int RECALL = FIRST_TYPE + 6;
  static final int HELD_REQUEST = FIRST_TYPE + 7;
  static final int HELD = FIRST_TYPE + 8;
  static final int HAND_OVER = FIRST_TYPE + 9;
  static final int WITHDRAW = FIRST_TYPE + 10;
  static final int LAST_TYPE = WITHDRAW;

  static final int COLD = 0;
  static final int WARM = 1;
  static final int SHEDDING = 2;
  static final int SUSPECT = 3;
  static final int LEAVING = 4;

  private LeaseMessageCodec() {}

  private static void begin(int type, LeaseMessage message, WireWriter out) {
    out.integer(type);
    out.pool(message.pool());
  }

  static void write(LeaseMessage message, WireWriter out) {
    switch (message) {
      case Acquire acquire -> writeAcquire(acquire, out);
      case CancelAcquire cancel -> {
        begin(CANCEL, cancel, out);
        out.integer(cancel.requestNumber());
      }
      case Grant grant -> writeGrant(grant, out);
      case Refuse refuse -> writeRefuse(refuse, out);
      case Reuse reuse -> {
        begin(REUSE, reuse, out);
        out.integer(reuse.requestNumber());
        writeReport(reuse.report(), out);
      }
      case Release release -> {
        begin(RELEASE, release, out);
        out.integer(release.requestNumber());
        writeReport(release.report(), out);
      }
      case Recall recall -> {
        begin(RECALL, recall, out);
        out.integer(recall.count());
      }
      case Withdraw withdraw -> {
        begin(WITHDRAW, withdraw, out);
        out.name(withdraw.backend().value());
      }
      case HeldLeasesRequest request -> begin(HELD_REQUEST, request, out);
      case HeldLeases held -> writeHeld(held, out);
      case HandOver handOver -> writeHandOver(handOver, out);
    }
  }

  private static void writeAcquire(Acquire acquire, WireWriter out) {
    begin(ACQUIRE, acquire, out);
    out.integer(acquire.requestNumber());
    out.integer(acquire.remainingNs());
    out.constant(acquire.whenFull());
    out.count(acquire.excluded());
    for (BackendName backend : acquire.excluded()) {
      out.name(backend.value());
    }
  }

  private static void writeGrant(Grant grant, WireWriter out) {
    begin(GRANT, grant, out);
    out.integer(grant.requestNumber());
    out.name(grant.backend().value());
    out.integer(grant.validNs());
    out.bool(grant.warm());
    out.integer(grant.free());
  }

  private static void writeRefuse(Refuse refuse, WireWriter out) {
    begin(REFUSE, refuse, out);
    out.integer(refuse.requestNumber());
    out.constant(refuse.reason());
    out.count(refuse.freeSlotsInOtherZones());
    for (ZoneFreeSlots free : refuse.freeSlotsInOtherZones()) {
      out.name(free.zone().value());
      out.integer(free.free());
    }
  }

  private static void writeReport(CallReport report, WireWriter out) {
    out.constant(report.end());
    out.integer(report.serviceTimeNs());
  }

  private static void writeHeld(HeldLeases held, WireWriter out) {
    begin(HELD, held, out);
    out.integer(held.nextRequestNumber());
    out.count(held.leases());
    for (HeldLease lease : held.leases()) {
      out.integer(lease.requestNumber());
      out.name(lease.backend().value());
      out.integer(lease.remainingNs());
      out.bool(lease.leaseEnded());
    }
  }

  private static void writeHandOver(HandOver handOver, WireWriter out) {
    begin(HAND_OVER, handOver, out);
    out.integer(handOver.sequence());
    out.bool(handOver.complete());
    out.count(handOver.leases());
    for (HandOverLease lease : handOver.leases()) {
      out.gateway(lease.holder());
      out.integer(lease.requestNumber());
      out.name(lease.backend().value());
      out.integer(lease.remainingNs());
      out.bool(lease.leaseEnded());
    }
    out.count(handOver.backends());
    for (HandOverBackend backend : handOver.backends()) {
      out.name(backend.backend().value());
      writeState(backend.state(), out);
      out.integer(backend.limit());
    }
  }

  private static void writeState(BackendState state, WireWriter out) {
    switch (state) {
      case BackendState.Cold(int successes) -> {
        out.integer(COLD);
        out.integer(successes);
      }
      case BackendState.Warm _ -> out.integer(WARM);
      case BackendState.Shedding(long retryAtNs) -> {
        out.integer(SHEDDING);
        out.integer(retryAtNs);
      }
      case BackendState.Suspect(long retryAtNs, int failures) -> {
        out.integer(SUSPECT);
        out.integer(retryAtNs);
        out.integer(failures);
      }
      case BackendState.Leaving _ -> out.integer(LEAVING);
    }
  }
}
