package org.cowslipstair.edge.peer;

import java.io.IOException;
import java.util.Optional;

/** Responds to frames of other gateways. */
public interface PeerFrameHandler {
  /**
   * Returns the response to a frame; empty if there is none.
   *
   * @throws IOException if the frame is malformed; the connection is closed then
   */
  Optional<byte[]> onFrame(byte[] frame) throws IOException;
}
