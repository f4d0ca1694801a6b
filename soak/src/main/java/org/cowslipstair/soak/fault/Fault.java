package org.cowslipstair.soak.fault;

import org.cowslipstair.soak.fleet.Backend;
import org.cowslipstair.soak.net.FaultyLink;

/**
 * A fault injected into the fleet. Indices are reduced modulo the number of gateways or backend
 * servers.
 */
public sealed interface Fault {
  /** A daemon is killed. */
  record Kill(int gateway) implements Fault {}

  /** The given share of the daemons is killed at once. */
  record KillMost(double share) implements Fault {}

  /** A daemon is suspended. */
  record Pause(int gateway, long forMs) implements Fault {}

  /** A daemon is stopped gracefully and restarted. */
  record Stop(int gateway) implements Fault {}

  /** The settings file of a daemon is rewritten, with or without a reload signal. */
  record Reload(int gateway, boolean signalled) implements Fault {}

  /** The condition of one daemon's link to the store changes. */
  record StoreLink(int gateway, FaultyLink.Condition condition, long forMs) implements Fault {}

  /** The condition of the links from all other daemons to one daemon changes. */
  record PeerLink(int gateway, FaultyLink.Condition condition, long forMs) implements Fault {}

  /** The condition of all links to the store changes. */
  record StoreAway(FaultyLink.Condition condition, long forMs) implements Fault {}

  /** The store refuses all requests. */
  record StoreRefuses(long forMs) implements Fault {}

  /** The store executes writes but loses the responses. */
  record StoreLosesAnswers(long forMs) implements Fault {}

  /** The store discards its change history. */
  record StoreForgets() implements Fault {}

  /** The store goes away and comes back from a copy. */
  record StoreReturns(long copyAgeMs, long awayMs) implements Fault {}

  /** A backend server misbehaves. */
  record BackendFault(int backend, Backend.Fault fault, long forMs) implements Fault {}

  /** The condition of the link to a backend server changes. */
  record BackendLink(int backend, FaultyLink.Condition condition, long forMs) implements Fault {}

  /** A backend server crashes. */
  record BackendCrash(int backend) implements Fault {}

  /** A request that crashes the servers that run it returns again and again. */
  record DeadlyRequest(int number, long forMs) implements Fault {}

  /** A backend server announces that it is leaving. */
  record BackendLeaves(int backend) implements Fault {}

  /** A backend server becomes cold without an update in the store. */
  record BackendCold(int backend) implements Fault {}

  /** The operator changes the configuration. */
  record ChangeConfiguration() implements Fault {}

  /** The operator changes the configuration while two gateways hear nothing from the store. */
  record ChangeWhileSilent(int gateway, long forMs) implements Fault {}

  /** Another writer stores an entry among those of the backend servers that no parser takes. */
  record OddEntry() implements Fault {}

  /** The operator takes a zone out for some time. */
  record ZoneOut(String zone, long forMs) implements Fault {}
}
