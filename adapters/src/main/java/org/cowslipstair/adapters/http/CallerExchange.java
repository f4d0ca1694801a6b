package org.cowslipstair.adapters.http;

import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.cowslipstair.logic.call.CallHandler;
import org.cowslipstair.logic.call.CallRequest;
import org.cowslipstair.logic.call.CallResult;
import org.cowslipstair.model.call.MayHaveRunReason;
import org.cowslipstair.port.BackendTransport.BackendRequestBody;
import org.cowslipstair.port.BackendTransport.BackendResponse;
import org.cowslipstair.port.MonotonicClock;
import org.eclipse.jetty.ee10.servlet.ServletContextRequest;
import org.eclipse.jetty.io.EndPoint;

/** Serves one HTTP request of a caller: reads the call, has it handled, writes how it ended. */
final class CallerExchange {
  private final CallReader reader;
  private final AnswerWriter writer;
  private final CallHandler handler;
  private final Supplier<String> requestIds;
  private final HangUpWatch hangUps;
  private final CallerBytesWatch bytesWatch;
  private final BooleanSupplier closing;

  CallerExchange(
      CallerLimits limits,
      CallHandler handler,
      MonotonicClock clock,
      Supplier<String> requestIds,
      HangUpWatch hangUps,
      CallerBytesWatch bytesWatch,
      BooleanSupplier closing) {
    this.reader = new CallReader(limits, clock, requestIds);
    this.writer = new AnswerWriter(limits);
    this.handler = handler;
    this.requestIds = requestIds;
    this.hangUps = hangUps;
    this.bytesWatch = bytesWatch;
    this.closing = closing;
  }

  /** Serves a request; blocks until its answer is written. */
  void serve(HttpServletRequest request, HttpServletResponse response) {
    ServletContextRequest core = ServletContextRequest.getServletContextRequest(request);
    CallerBytesWatch.Caller caller = bytesWatch.caller(socket(core));
    caller.onRequestBegun();
    try {
      serveOrAbort(core, request, response, caller);
    } catch (IOException | RuntimeException e) {
      abort(core, e);
    } catch (InterruptedException e) {
      abort(core, e);
    } finally {
      caller.onRequestEnded();
    }
  }

  private static Socket socket(ServletContextRequest core) {
    EndPoint connection = core.getConnectionMetaData().getConnection().getEndPoint();
    if (connection.getTransport() instanceof SocketChannel channel) {
      return channel.socket();
    }
    throw new IllegalStateException("connection of a caller without a socket: " + connection);
  }

  private void serveOrAbort(
      ServletContextRequest core,
      HttpServletRequest request,
      HttpServletResponse response,
      CallerBytesWatch.Caller caller)
      throws IOException, InterruptedException {
    String requestId;
    CallRequest call;
    try {
      requestId = reader.requestId(core);
    } catch (BadRequestException e) {
      writer.writeProblem(response, Problem.of(e.fault()), requestIds.get(), true);
      return;
    }
    try {
      call = reader.read(core, requestId, request.getInputStream(), caller);
    } catch (BadRequestException e) {
      writer.writeProblem(response, Problem.of(e.fault()), requestId, true);
      return;
    }
    finish(response, requestId, handle(core, call));
  }

  /** Runs a call; one whose request still streams in notices by that when its caller is gone. */
  private CallResult handle(ServletContextRequest core, CallRequest call)
      throws InterruptedException {
    if (call.body() instanceof BackendRequestBody.Streamed) {
      return handler.handle(call);
    }
    HangUpWatch.Call watched =
        hangUps.begin(core.getConnectionMetaData().getConnection().getEndPoint());
    try {
      return handler.handle(call);
    } finally {
      watched.end();
    }
  }

  private void finish(HttpServletResponse response, String requestId, CallResult result)
      throws IOException {
    boolean close = closing.getAsBoolean();
    switch (result) {
      case CallResult.Answered(BackendResponse answer) -> {
        try (answer) {
          writer.writeAnswer(response, answer, requestId, close);
        } catch (AnswerLostException _) {
          writeLost(response, requestId, close);
        }
      }
      case CallResult.NotRun notRun ->
          writer.writeProblem(response, Problem.of(notRun), requestId, close);
      case CallResult.MayHaveRun mayHaveRun ->
          writer.writeProblem(response, Problem.of(mayHaveRun), requestId, close);
    }
  }

  /** Tells a caller that has seen nothing of an answer yet that the answer was lost. */
  private void writeLost(HttpServletResponse response, String requestId, boolean close)
      throws IOException {
    CallResult.MayHaveRun lost = new CallResult.MayHaveRun(MayHaveRunReason.CONNECTION_LOST);
    writer.writeProblem(response, Problem.of(lost), requestId, close);
  }

  /** Closes the connection, so that the caller cannot take a part for the whole. */
  private static void abort(ServletContextRequest core, Throwable cause) {
    core.getConnectionMetaData().getConnection().getEndPoint().close(cause);
  }
}
