package org.cowslipstair.adapters.http;

import java.io.IOException;
import java.util.Optional;
import okhttp3.Headers;

/**
 * What happened on the wire during one call to a backend server: whether a byte of the request can
 * have left, and whether the caller's body broke off.
 */
final class ExchangeTrace {
  private final Headers wireHeaders;
  private Optional<BackendSocket> socket = Optional.empty();
  private Optional<IOException> callerFailure = Optional.empty();
  private Optional<AnswerHead> answerHead = Optional.empty();
  private Optional<Thread> callerReader = Optional.empty();
  private long bytesWrittenBefore;
  private boolean attempted;

  ExchangeTrace(Headers wireHeaders) {
    this.wireHeaders = wireHeaders;
  }

  /** Returns the header fields to send, exactly. */
  Headers wireHeaders() {
    return wireHeaders;
  }

  /** Returns true once; a second attempt to send the same call is a silent retry. */
  synchronized boolean beginAttempt() {
    boolean first = !attempted;
    attempted = true;
    return first;
  }

  /** Notes the connection that will carry the request, before its first byte. */
  synchronized void sendingOn(BackendSocket connection) {
    bytesWrittenBefore = connection.bytesWritten();
    connection.beginExchange();
    socket = Optional.of(connection);
  }

  /** Returns whether a byte of the request can have left. */
  synchronized boolean mayHaveSent() {
    return socket.isPresent() && socket.get().bytesWritten() > bytesWrittenBefore;
  }

  synchronized void answered(AnswerHead head) {
    answerHead = Optional.of(head);
  }

  synchronized Optional<AnswerHead> answerHead() {
    return answerHead;
  }

  /** Returns whether the backend server already answers or hung up while the body is sent. */
  synchronized boolean isAnswerWaiting() {
    return socket.isPresent() && socket.get().hasInput();
  }

  /** Ends the request in the middle of its body, so that its answer is read. */
  synchronized void endRequest() throws IOException {
    if (socket.isPresent()) {
      socket.get().shutdownOutput();
    }
  }

  synchronized void callerFailed(IOException failure) {
    callerFailure = Optional.of(failure);
  }

  synchronized Optional<IOException> callerFailure() {
    return callerFailure;
  }

  /** Notes that the current thread waits for bytes of the caller. */
  synchronized void beginCallerRead() {
    callerReader = Optional.of(Thread.currentThread());
  }

  synchronized void endCallerRead() {
    callerReader = Optional.empty();
  }

  /** Wakes a thread that waits for bytes of the caller, because the call is cancelled. */
  synchronized void stopCallerRead() {
    callerReader.ifPresent(Thread::interrupt);
  }
}
