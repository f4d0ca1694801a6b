package org.cowslipstair.adapters.http;

import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
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

/** Serves one HTTP request of a caller: reads the call, has it handled, writes how it ended. */
final class CallerExchange {
  private final CallReader reader;
  private final AnswerWriter writer;
  private final CallHandler handler;
  private final Supplier<String> requestIds;
  private final HangUpWatch hangUps;
  private final BooleanSupplier closing;

  CallerExchange(
      CallerLimits limits,
      CallHandler handler,
      MonotonicClock clock,
      Supplier<String> requestIds,
      HangUpWatch hangUps,
      BooleanSupplier closing) {
    this.reader = new CallReader(limits, clock, requestIds);
    this.writer = new AnswerWriter(limits);
    this.handler = handler;
    this.requestIds = requestIds;
    this.hangUps = hangUps;
    this.closing = closing;
  }

  /** Serves a request; blocks until its answer is written. */
  void serve(HttpServletRequest request, HttpServletResponse response) {
    ServletContextRequest core = ServletContextRequest.getServletContextRequest(request);
    try {
      serveOrAbort(core, request, response);
    } catch (IOException | RuntimeException e) {
      abort(core, e);
    } catch (InterruptedException e) {
      abort(core, e);
    }
  }

  private void serveOrAbort(
      ServletContextRequest core, HttpServletRequest request, HttpServletResponse response)
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
      call = reader.read(core, requestId, request.getInputStream());
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
