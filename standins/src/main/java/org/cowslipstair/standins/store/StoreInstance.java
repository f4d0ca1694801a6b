package org.cowslipstair.standins.store;

/** An entry of the instance list; describes one gateway instance. */
public record StoreInstance(
    String name, String zone, String peerAddress, String adminAddress, boolean leaving) {}
