package org.cowslipstair.adapters.peer;

/** Ways in which a peer breaks the protocol. */
public enum ProtocolError {
  /** A frame is longer than allowed, or empty. */
  FRAME_LENGTH,
  /** A frame ends before its content does. */
  TRUNCATED,
  /** A message has a type that is not known. */
  UNKNOWN_TYPE,
  /** A field has a value that it cannot have. */
  MALFORMED,
  /** The peer speaks another version of the protocol. */
  VERSION,
  /** The peer does not know the shared key. */
  NOT_AUTHENTICATED,
  /** The handshake took too long. */
  SLOW_HANDSHAKE,
  /** Too many connections are in their handshake. */
  TOO_MANY_HANDSHAKES,
  /** The gateway behind an address has another name than expected. */
  WRONG_PEER,
  /** Both gateways dialled, and the other connection is kept. */
  DUPLICATE,
  /** A newer process has the name of the peer. */
  SUPERSEDED,
  /** A message is too large to be sent. */
  MESSAGE_TOO_LARGE
}
