package org.cowslipstair.soak.fault;

import org.cowslipstair.soak.fleet.Backend;
import org.cowslipstair.soak.net.FaultyLink;

/** Something that happens to the fleet from outside. Indices are taken modulo what there is. */
public sealed interface Fault {
  /** A daemon is killed. */
  record Kill(int gateway) implements Fault {}

  /** Most daemons are killed at once. */
  record KillMost(double share) implements Fault {}

  /** A daemon stands still. */
  record Pause(int gateway, long forMs) implements Fault {}

  /** A daemon is stopped in order and starts again. */
  record Stop(int gateway) implements Fault {}

  /** The settings file of a daemon is written anew, with or without a signal. */
  record Reload(int gateway, boolean signalled) implements Fault {}

  /** One daemon's link to the store changes. */
  record StoreLink(int gateway, FaultyLink.Condition condition, long forMs) implements Fault {}

  /** All links to the store change. */
  record StoreAway(FaultyLink.Condition condition, long forMs) implements Fault {}

  /** The store refuses all calls. */
  record StoreRefuses(long forMs) implements Fault {}

  /** The store does writes and loses the answers. */
  record StoreLosesAnswers(long forMs) implements Fault {}

  /** The store forgets its history. */
  record StoreForgets() implements Fault {}

  /** A backend server misbehaves. */
  record BackendFault(int backend, Backend.Fault fault, long forMs) implements Fault {}

  /** The link of a backend server changes. */
  record BackendLink(int backend, FaultyLink.Condition condition, long forMs) implements Fault {}

  /** A backend server crashes. */
  record BackendCrash(int backend) implements Fault {}

  /** A backend server leaves. */
  record BackendLeaves(int backend) implements Fault {}

  /** A backend server becomes cold without a word in the store. */
  record BackendCold(int backend) implements Fault {}

  /** The operator changes the configuration. */
  record ChangeConfiguration() implements Fault {}

  /** The operator takes a zone out. */
  record ZoneOut(String zone, long forMs) implements Fault {}
}
