package org.cowslipstair.logic.quota;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.hash.Hashing;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.cowslipstair.logic.budget.GatewayRanking;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.model.tenant.TenantName;

/**
 * Decides which gateway this one asks for permits and lends its share to: the first one in the
 * ranking of the fleet that responds. Issues permits itself when others ask. Not thread-safe.
 */
public final class QuotaCoordinator {
  /** Subject of the ranking; one gateway issues the permits of all tenants. */
  private static final String SUBJECT = "quotas";

  /** Time for which a gateway that has not responded in time is not asked. */
  private static final long SILENCE_NS = 500_000_000L;

  /** Age of the latest reply above which a loan is renewed. */
  private static final long RENEWAL_AGE_NS = 150_000_000L;

  /** Number of gateways that one without a loan connects to at once. */
  private static final int FIRST_CONTACTS = 16;

  private final String self;
  private final QuotaIssuer issuer;
  private final ShareLender lender;
  private final GatewayRanking ranking = new GatewayRanking();
  private final Map<String, Long> silentUntilNs = new HashMap<>();

  /**
   * Reply of an issuer.
   *
   * @param issuerId number of its process
   * @param stampNs its monotonic time
   * @param decision decision on a permit; empty if none was requested
   */
  public record Reply(long issuerId, long stampNs, Optional<QuotaIssuer.Decision> decision) {}

  /**
   * A request for a permit.
   *
   * @param tenant tenant whose request it is for
   * @param bounds limit in force
   */
  public record Wanted(TenantName tenant, QuotaBounds bounds) {}

  /** Creates a coordinator of the gateway with the given name. */
  public QuotaCoordinator(String self, QuotaIssuer issuer, ShareLender lender) {
    this.self = self;
    this.issuer = issuer;
    this.lender = lender;
  }

  /**
   * Creates a coordinator of a process that has neither lent nor issued anything.
   *
   * @param firstStart whether the whole fleet starts for the first time
   */
  public static QuotaCoordinator create(
      String self,
      RandomGenerator random,
      boolean firstStart,
      InvariantMonitor monitor,
      long nowNs) {
    // A fleet may share a seed, and 0 stands for an unknown process.
    long id = (random.nextLong() ^ Hashing.murmur3_128().hashString(self, UTF_8).asLong()) | 1;
    return new QuotaCoordinator(
        self, new QuotaIssuer(id, firstStart, monitor, random, nowNs), new ShareLender(nowNs));
  }

  /** Returns the issuer part of this gateway. */
  public QuotaIssuer issuer() {
    return issuer;
  }

  /**
   * Returns the gateway to lend the own share to; empty if the fleet is unknown.
   *
   * @param gateways names of all known gateways; must be immutable
   * @param isUnreachable whether a gateway has been found unreachable from here
   */
  public Optional<String> preferred(
      Collection<String> gateways, Predicate<String> isUnreachable, long nowNs) {
    for (String gateway : ranking.ranked(SUBJECT, gateways)) {
      if (gateway.equals(self) || !isUnreachable.test(gateway) && !isSilent(gateway, nowNs)) {
        return Optional.of(gateway);
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the gateway to ask for a permit. While the share is still lent to an issuer that
   * responds, that one is asked, since the preferred one may have too few shares yet.
   */
  public Optional<String> issuerToAsk(
      Collection<String> gateways, Predicate<String> isUnreachable, long nowNs) {
    Optional<String> lentTo =
        lender
            .lentTo(nowNs)
            .filter(
                gateway ->
                    gateway.equals(self)
                        || !isUnreachable.test(gateway) && !isSilent(gateway, nowNs));
    return lentTo.isPresent() ? lentTo : preferred(gateways, isUnreachable, nowNs);
  }

  /**
   * Returns the gateways to connect to, so that it is known soon which of them respond: those that
   * rank before the preferred one, and further ones while the own share is not lent.
   */
  public List<String> toReach(
      Collection<String> gateways, Predicate<String> isUnreachable, long nowNs) {
    List<String> skipped = skipped(gateways, isUnreachable, nowNs);
    return lender.lentTo(nowNs).isPresent()
        ? skipped
        : ranking.ranked(SUBJECT, gateways).stream()
            .filter(gateway -> !gateway.equals(self))
            .limit(Math.max(skipped.size(), FIRST_CONTACTS))
            .toList();
  }

  /** Returns the gateways that rank before the preferred one. */
  public List<String> skipped(
      Collection<String> gateways, Predicate<String> isUnreachable, long nowNs) {
    Optional<String> preferred = preferred(gateways, isUnreachable, nowNs);
    return ranking.ranked(SUBJECT, gateways).stream()
        .takeWhile(gateway -> !preferred.equals(Optional.of(gateway)))
        .toList();
  }

  private boolean isSilent(String gateway, long nowNs) {
    return silentUntilNs.getOrDefault(gateway, nowNs) - nowNs > 0;
  }

  /** Records that a gateway has not responded in time. */
  public void recordSilence(String gateway, long nowNs) {
    silentUntilNs.values().removeIf(untilNs -> untilNs - nowNs <= 0);
    silentUntilNs.put(gateway, nowNs + SILENCE_NS);
  }

  /** Returns what to tell another gateway along with a request. */
  public ShareOffer offer(String gateway, long windowNs, long nowNs) {
    return lender.offer(gateway, windowNs, nowNs);
  }

  /** Responds to the request of a gateway. */
  public Reply respond(
      String gateway,
      ShareOffer offer,
      Optional<Wanted> wanted,
      Collection<String> gateways,
      long nowNs) {
    issuer.setFleet(gateways, nowNs);
    issuer.accept(gateway, offer, nowNs);
    return new Reply(
        issuer.id(),
        nowNs,
        wanted.map(request -> issuer.tryIssue(request.tenant(), request.bounds(), nowNs)));
  }

  /** Responds to a request of this gateway. */
  public Reply respondToSelf(
      Optional<Wanted> wanted, long windowNs, Collection<String> gateways, long nowNs) {
    lender.recordReply(self, issuer.id(), nowNs, nowNs);
    return respond(self, lender.offer(self, windowNs, nowNs), wanted, gateways, nowNs);
  }

  /** Records the reply of another gateway. */
  public void recordReply(String gateway, Reply reply, long nowNs) {
    silentUntilNs.remove(gateway);
    lender.recordReply(gateway, reply.issuerId(), reply.stampNs(), nowNs);
  }

  /** Returns whether a message has to tell a gateway that the own share is lent to it, still. */
  public boolean needsRenewal(String gateway, long nowNs) {
    return !lender.isLentTo(gateway, nowNs) || !lender.hasReplied(gateway, RENEWAL_AGE_NS, nowNs);
  }

  /** Returns whether the own share could be lent to a gateway now and is not. */
  public boolean canLend(String gateway, long nowNs) {
    return !lender.isLentTo(gateway, nowNs)
        && lender.hasReplied(gateway, RENEWAL_AGE_NS, nowNs)
        && lender.heldUpBy(gateway, nowNs).isEmpty();
  }

  /** Returns the gateway that holds up a loan to the given one; empty if there is none. */
  public Optional<String> heldUpBy(String gateway, long nowNs) {
    return lender.heldUpBy(gateway, nowNs);
  }

  /** Returns the offer that ends the loan to a gateway. */
  public ShareOffer release(String gateway) {
    return lender.release(gateway);
  }

  /** Ends the loan to this gateway itself. */
  public void releaseSelf(long nowNs) {
    issuer.accept(self, lender.release(self), nowNs);
    lender.recordReleased(issuer.id());
  }

  /** Records that an issuer has confirmed the end of a loan. */
  public void recordReleased(Reply reply) {
    lender.recordReleased(reply.issuerId());
  }

  /** Returns the gateway that the own share is lent to; empty if there is none. */
  public Optional<String> lentTo(long nowNs) {
    return lender.lentTo(nowNs);
  }
}
