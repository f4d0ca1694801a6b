package org.cowslipstair.edge.backend;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.cowslipstair.edge.ProtocolHeaders;
import org.cowslipstair.model.traffic.ServerNotice;
import org.jboss.logging.Logger;

/** Reads what a backend server says of itself in the head of any response. */
public final class NoticeReader {
  private static final Logger LOG = Logger.getLogger(NoticeReader.class);
  private static final String LEAVING = "1";
  private static final double NS_PER_SECOND = 1e9;

  /** Longer pauses count as this one. */
  private static final double MAX_PAUSE_SECONDS = 3_600;

  private final ProtocolHeaders headers;
  private boolean malformedLogged;

  /** Creates a reader. */
  public NoticeReader(ProtocolHeaders headers) {
    this.headers = headers;
  }

  /**
   * Returns the notices of a response.
   *
   * @param name name of the process that the response should come from; another one speaks for
   *     itself only
   */
  List<ServerNotice> read(HttpResponse head, String name, long nowNs) {
    List<ServerNotice> notices = new ArrayList<>();
    boolean isOtherInstance =
        head.status().code() == HttpResponseStatus.MISDIRECTED_REQUEST.code()
            || !head.headers().get(headers.instance(), name).equals(name);
    if (isOtherInstance) {
      return notices;
    }
    if (LEAVING.equals(head.headers().get(headers.leaving(), "").trim())) {
      notices.add(new ServerNotice.Leaving());
    }
    if (head.status().code() == HttpResponseStatus.SERVICE_UNAVAILABLE.code()) {
      // Of several fields the longest pause counts, which each of them allows.
      head.headers().getAll(HttpHeaderNames.RETRY_AFTER).stream()
          .map(this::parsePauseNs)
          .filter(OptionalLong::isPresent)
          .mapToLong(OptionalLong::getAsLong)
          .max()
          .ifPresent(pauseNs -> notices.add(new ServerNotice.Paused(nowNs + pauseNs)));
    }
    return notices;
  }

  /**
   * Parses seconds, which may have a fraction. A date is malformed here, because the clocks of two
   * machines cannot be compared.
   */
  private OptionalLong parsePauseNs(String value) {
    try {
      double seconds = Double.parseDouble(value.trim());
      if (seconds > 0) {
        return OptionalLong.of((long) (Math.min(seconds, MAX_PAUSE_SECONDS) * NS_PER_SECOND));
      }
    } catch (NumberFormatException e) {
      if (!malformedLogged) {
        malformedLogged = true;
        LOG.warnf("backend: Retry-After \"%.80s\" is no number of seconds; ignored", value);
      }
    }
    return OptionalLong.empty();
  }
}
