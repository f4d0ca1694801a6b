package org.cowslipstair.logic.overload;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** The order in which requests get room, and when they look for it: a burst of long reads. */
final class UrgencyTest {
  private static final long MS = 1_000_000L;
  private static final Urgency UPLOAD = new Urgency(1, 1_400 * MS, 260e6);
  private static final Urgency READ = new Urgency(2, 1_900 * MS, 880e6);
  private static final Urgency LATER_READ = new Urgency(2, 2_400 * MS, 880e6);
  private static final Urgency SHORT_READ = new Urgency(2, 1_900 * MS, 400e6);

  @Test
  void priorityThenLatestStartThenWorkDecide() {
    List<Urgency> requests = new ArrayList<>(List.of(LATER_READ, READ, SHORT_READ, UPLOAD));
    requests.sort(null);
    assertThat(requests, contains(UPLOAD, SHORT_READ, READ, LATER_READ));
  }

  @Test
  void lineIsOrderedByUrgencyAndThenByArrival() {
    WaitingLine<String> line = new WaitingLine<>();
    line.add(READ, "first read");
    line.add(READ, "second read");
    WaitingLine.Place<String> upload = line.add(UPLOAD, "upload");
    assertThat(line.first().orElseThrow().item(), is("upload"));
    assertThat(line.remove(upload), is(true));
    assertThat(line.remove(upload), is(false));
    assertThat(line.first().orElseThrow().item(), is("first read"));
    assertThat(line.size(), is(2));
  }

  /** Never a busy search, and a search in time as long as there is slack. */
  @Property(seed = "6301", tries = 1_000)
  void requestLooksForRoomSeveralTimesWithinItsSlack(
      @ForAll @LongRange(min = 0, max = 10_000) long slackMs,
      @ForAll @LongRange(min = -1, max = 20_000) long roomInMs) {
    OptionalLong room = roomInMs < 0 ? OptionalLong.empty() : OptionalLong.of(roomInMs * MS);
    Urgency urgency = new Urgency(0, slackMs * MS, 1e6);
    long untilNextNs = WaitingTime.untilNextNs(urgency, room, 0);
    assertThat(untilNextNs, greaterThanOrEqualTo(10 * MS));
    assertThat(untilNextNs, lessThanOrEqualTo(Math.max(10 * MS, slackMs * MS / 2)));
  }

  @Test
  void slackEndsAtTheLatestStart() {
    assertThat(READ.slackNs(0), greaterThan(0L));
    assertThat(READ.slackNs(3_000 * MS), is(0L));
  }
}
