package org.cowslipstair.adapters.peer;

import org.cowslipstair.model.config.HostPort;

/**
 * Settings of the connections between gateways.
 *
 * @param listenAddress address to listen on; port 0 picks a free one
 * @param sharedKey secret that all gateways of the fleet know
 * @param handshakeTimeoutMs time within which a connection must be authenticated
 * @param maxHandshakes number of connections that may be in their handshake at once
 * @param maxFrameBytes longest frame
 * @param queueCapacity number of messages that may wait for one peer; more end the connection
 * @param idleTimeoutMs silence after which a connection is closed
 */
public record PeerTransportSettings(
    HostPort listenAddress,
    byte[] sharedKey,
    int handshakeTimeoutMs,
    int maxHandshakes,
    int maxFrameBytes,
    int queueCapacity,
    int idleTimeoutMs) {
  private static final int MIN_KEY_BYTES = 16;
  private static final int HANDSHAKE_TIMEOUT_MS = 2_000;
  private static final int MAX_HANDSHAKES = 64;
  private static final int MAX_FRAME_BYTES = 2 * 1024 * 1024;
  private static final int QUEUE_CAPACITY = 8_192;
  private static final int IDLE_TIMEOUT_MS = 20_000;

  /**
   * Copies the key.
   *
   * @throws IllegalArgumentException if the key is too short to withstand guessing
   */
  public PeerTransportSettings {
    if (sharedKey.length < MIN_KEY_BYTES) {
      throw new IllegalArgumentException(
          "shared key has %d bytes, fewer than %d".formatted(sharedKey.length, MIN_KEY_BYTES));
    }
    sharedKey = sharedKey.clone();
  }

  /** Returns settings with the default bounds. */
  public static PeerTransportSettings of(HostPort listenAddress, byte[] sharedKey) {
    return new PeerTransportSettings(
        listenAddress,
        sharedKey,
        HANDSHAKE_TIMEOUT_MS,
        MAX_HANDSHAKES,
        MAX_FRAME_BYTES,
        QUEUE_CAPACITY,
        IDLE_TIMEOUT_MS);
  }

  @Override
  public String toString() {
    return "PeerTransportSettings[" + listenAddress + "]";
  }
}
