package org.cowslipstair.edge.quarantine;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.cowslipstair.edge.loop.RepeatedTask;
import org.cowslipstair.edge.peer.PeerNetwork;
import org.cowslipstair.logic.quarantine.QuarantineMessage;
import org.cowslipstair.logic.quarantine.QuarantineSync;
import org.cowslipstair.logic.quarantine.QuarantineTable;
import org.cowslipstair.logic.quarantine.QuarantineVerdict;
import org.cowslipstair.logic.quarantine.SuspectRequest;
import org.cowslipstair.model.traffic.BackendProcess;
import org.cowslipstair.model.traffic.RequestFingerprint;
import org.cowslipstair.port.MonotonicClock;
import org.jboss.logging.Logger;

/**
 * What this gateway knows about requests that crash backend servers, shared with the other
 * gateways. Used on the event loop only.
 */
public final class QuarantineService implements PeerNetwork.Service {
  private static final Logger LOG = Logger.getLogger(QuarantineService.class);

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final QuarantineTable table;
  private final Supplier<List<String>> gateways;
  private final PeerNetwork network;
  private final QuarantineSync sync;

  /**
   * Creates a service and registers it with the network.
   *
   * @param gateways returns the names of all known gateways
   * @param isFirstStart whether the whole fleet starts for the first time
   */
  public QuarantineService(
      String self,
      EventLoop loop,
      MonotonicClock clock,
      RandomGenerator random,
      QuarantineTable table,
      Supplier<List<String>> gateways,
      boolean isFirstStart,
      PeerNetwork network) {
    this.loop = loop;
    this.clock = clock;
    this.table = table;
    this.gateways = gateways;
    this.network = network;
    this.sync = new QuarantineSync(self, table, gateways, random, isFirstStart, new PeerSender());
    network.register(this);
  }

  /** Starts to compare what this gateway knows with other gateways. */
  public void start() {
    loop.execute(() -> RepeatedTask.start(loop, "quarantine", () -> sync.compare(clock.nowNs())));
  }

  /** Returns whether nothing is known about any request. */
  public boolean isEmpty() {
    return table.isEmpty();
  }

  /** Returns whether something is known about a request with these digits, whatever its body. */
  public boolean knowsHead(String digits) {
    return table.knowsHead(digits);
  }

  /** Returns all remembered requests. */
  public List<SuspectRequest> suspects() {
    return List.copyOf(table.suspects());
  }

  /** Returns the number of requests that are held back. */
  public long heldBackCount() {
    long nowNs = clock.nowNs();
    return table.suspects().stream().filter(suspect -> table.isHeldBack(suspect, nowNs)).count();
  }

  /** Returns whether a remembered request is held back. */
  public boolean isHeldBack(SuspectRequest suspect) {
    return table.isHeldBack(suspect, clock.nowNs());
  }

  /** Returns whether a request may be sent, and records that it has arrived. */
  public QuarantineVerdict onArrival(RequestFingerprint fingerprint) {
    return table.onArrival(fingerprint, clock.nowNs());
  }

  /** Starts a trial of a request that is held back; returns false if none is due here. */
  public boolean tryStartTrial(RequestFingerprint fingerprint) {
    Optional<SuspectRequest> tried =
        table.tryStartTrial(fingerprint, gateways.get(), clock.nowNs());
    tried.ifPresent(
        suspect -> {
          LOG.infof("quarantine: %s is sent on trial", fingerprint.hex());
          sync.publish(suspect);
        });
    return tried.isPresent();
  }

  /** Returns whether a request may be sent. */
  public QuarantineVerdict verdict(RequestFingerprint fingerprint) {
    return table.verdict(fingerprint, clock.nowNs());
  }

  /** Records that a suspected request is sent. */
  public void recordSend(RequestFingerprint fingerprint) {
    table.recordSend(fingerprint, clock.nowNs());
  }

  /** Records that a backend server crashed while it ran a request. */
  public void recordCrash(RequestFingerprint fingerprint, BackendProcess process) {
    SuspectRequest suspect = table.recordCrash(fingerprint, process, clock.nowNs());
    LOG.warnf(
        "quarantine: %s ran on %s when it crashed; crashes %d, held back %b",
        fingerprint.hex(), process.name().value(), suspect.crashCount(), isHeldBack(suspect));
    sync.publish(suspect);
  }

  /**
   * Records that a backend server has run a request completely, or that an operator releases it.
   *
   * @return whether it was suspected
   */
  public boolean clear(RequestFingerprint fingerprint) {
    Optional<SuspectRequest> cleared = table.recordCleared(fingerprint, clock.nowNs());
    cleared.ifPresent(
        suspect -> {
          LOG.infof("quarantine: %s is cleared", fingerprint.hex());
          sync.publish(suspect);
        });
    return cleared.isPresent();
  }

  @Override
  public boolean owns(byte[] frame) {
    return QuarantineCodec.isQuarantineMessage(frame);
  }

  @Override
  public Optional<byte[]> onFrame(byte[] frame) throws IOException {
    long nowNs = clock.nowNs();
    return sync.onMessage(QuarantineCodec.decode(frame, nowNs), nowNs)
        .map(response -> QuarantineCodec.encode(response, nowNs));
  }

  @Override
  public void onResponse(String gateway, byte[] frame) throws IOException {
    long nowNs = clock.nowNs();
    sync.onResponse(gateway, QuarantineCodec.decode(frame, nowNs), nowNs);
  }

  private final class PeerSender implements QuarantineSync.Network {
    @Override
    public void send(String gateway, QuarantineMessage message) {
      boolean awaitsResponse = message instanceof QuarantineMessage.Compare;
      network
          .open(gateway)
          .ifPresent(
              link -> link.send(QuarantineCodec.encode(message, clock.nowNs()), awaitsResponse));
    }

    @Override
    public boolean isUnreachable(String gateway) {
      return network.isUnreachable(gateway);
    }
  }
}
