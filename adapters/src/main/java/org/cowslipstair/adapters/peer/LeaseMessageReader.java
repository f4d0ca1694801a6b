package org.cowslipstair.adapters.peer;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.peer.LeaseMessage;
import org.cowslipstair.model.peer.LeaseMessage.Acquire;
import org.cowslipstair.model.peer.LeaseMessage.CancelAcquire;
import org.cowslipstair.model.peer.LeaseMessage.FullPoolPolicy;
import org.cowslipstair.model.peer.LeaseMessage.Grant;
import org.cowslipstair.model.peer.LeaseMessage.HandOver;
import org.cowslipstair.model.peer.LeaseMessage.HandOverBackend;
import org.cowslipstair.model.peer.LeaseMessage.HandOverLease;
import org.cowslipstair.model.peer.LeaseMessage.HeldLease;
import org.cowslipstair.model.peer.LeaseMessage.HeldLeases;
import org.cowslipstair.model.peer.LeaseMessage.HeldLeasesRequest;
import org.cowslipstair.model.peer.LeaseMessage.Recall;
import org.cowslipstair.model.peer.LeaseMessage.Refuse;
import org.cowslipstair.model.peer.LeaseMessage.RefuseReason;
import org.cowslipstair.model.peer.LeaseMessage.Release;
import org.cowslipstair.model.peer.LeaseMessage.Reuse;
import org.cowslipstair.model.peer.LeaseMessage.Withdraw;
import org.cowslipstair.model.peer.LeaseMessage.ZoneFreeSlots;
import org.cowslipstair.model.pool.BackendState;
import org.cowslipstair.model.pool.CallOutcome;
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.model.pool.PoolId;

/** Reads the messages between brokers and lessees. */
final class LeaseMessageReader {
  private LeaseMessageReader() {}

  static LeaseMessage read(int type, WireReader in) throws ProtocolException {
    PoolId pool = in.pool();
    return switch (type) {
      case LeaseMessageCodec.ACQUIRE -> readAcquire(pool, in);
      case LeaseMessageCodec.CANCEL -> new CancelAcquire(pool, in.integer());
      case LeaseMessageCodec.GRANT ->
          new Grant(pool, in.integer(), readBackend(in), in.integer(), in.bool(), readInt(in));
      case LeaseMessageCodec.REFUSE -> readRefuse(pool, in);
      case LeaseMessageCodec.REUSE -> new Reuse(pool, in.integer(), readReport(in));
      case LeaseMessageCodec.RELEASE -> new Release(pool, in.integer(), readReport(in));
      case LeaseMessageCodec.RECALL -> new Recall(pool, readInt(in));
      case LeaseMessageCodec.WITHDRAW -> new Withdraw(pool, readBackend(in));
      case LeaseMessageCodec.HELD_REQUEST -> new HeldLeasesRequest(pool);
      case LeaseMessageCodec.HELD -> readHeld(pool, in);
      case LeaseMessageCodec.HAND_OVER -> readHandOver(pool, in);
      default -> throw new ProtocolException(ProtocolError.UNKNOWN_TYPE, "type " + type);
    };
  }

  private static int readInt(WireReader in) throws ProtocolException {
    return in.integer(Integer.MIN_VALUE, Integer.MAX_VALUE);
  }

  private static BackendName readBackend(WireReader in) throws ProtocolException {
    String name = in.name();
    if (!ObjectKey.isValidName(name)) {
      throw WireReader.malformed("backend server name");
    }
    return new BackendName(name);
  }

  private static Acquire readAcquire(PoolId pool, WireReader in) throws ProtocolException {
    long requestNumber = in.integer();
    long remainingNs = in.integer();
    FullPoolPolicy whenFull = in.constant(FullPoolPolicy.values());
    int count = in.count();
    Set<BackendName> excluded = new HashSet<>();
    for (int i = 0; i < count; i++) {
      excluded.add(readBackend(in));
    }
    return new Acquire(pool, requestNumber, remainingNs, whenFull, excluded);
  }

  private static Refuse readRefuse(PoolId pool, WireReader in) throws ProtocolException {
    long requestNumber = in.integer();
    RefuseReason reason = in.constant(RefuseReason.values());
    int count = in.count();
    List<ZoneFreeSlots> freeSlotsInOtherZones = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      freeSlotsInOtherZones.add(new ZoneFreeSlots(in.zone(), readInt(in)));
    }
    return new Refuse(pool, requestNumber, reason, freeSlotsInOtherZones);
  }

  private static CallReport readReport(WireReader in) throws ProtocolException {
    return new CallReport(in.constant(CallOutcome.values()), in.integer());
  }

  private static HeldLeases readHeld(PoolId pool, WireReader in) throws ProtocolException {
    long nextRequestNumber = in.integer();
    int count = in.count();
    List<HeldLease> leases = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      leases.add(new HeldLease(in.integer(), readBackend(in), in.integer(), in.bool()));
    }
    return new HeldLeases(pool, nextRequestNumber, leases);
  }

  private static HandOver readHandOver(PoolId pool, WireReader in) throws ProtocolException {
    long sequence = in.integer();
    boolean complete = in.bool();
    int leaseCount = in.count();
    List<HandOverLease> leases = new ArrayList<>();
    for (int i = 0; i < leaseCount; i++) {
      leases.add(
          new HandOverLease(in.gateway(), in.integer(), readBackend(in), in.integer(), in.bool()));
    }
    int backendCount = in.count();
    List<HandOverBackend> backends = new ArrayList<>();
    for (int i = 0; i < backendCount; i++) {
      backends.add(new HandOverBackend(readBackend(in), readState(in), readInt(in)));
    }
    return new HandOver(pool, sequence, complete, leases, backends);
  }

  private static BackendState readState(WireReader in) throws ProtocolException {
    int state = in.integer(LeaseMessageCodec.COLD, LeaseMessageCodec.LEAVING);
    return switch (state) {
      case LeaseMessageCodec.COLD -> new BackendState.Cold(readInt(in));
      case LeaseMessageCodec.WARM -> new BackendState.Warm();
      case LeaseMessageCodec.SHEDDING -> new BackendState.Shedding(in.integer());
      case LeaseMessageCodec.SUSPECT -> new BackendState.Suspect(in.integer(), readInt(in));
      default -> new BackendState.Leaving();
    };
  }
}
