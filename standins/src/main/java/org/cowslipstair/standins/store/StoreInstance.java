package org.cowslipstair.standins.store;

/** An entry of the list of gateways. */
public record StoreInstance(
    String name, String zone, String peerAddress, String adminAddress, boolean leaving) {}
