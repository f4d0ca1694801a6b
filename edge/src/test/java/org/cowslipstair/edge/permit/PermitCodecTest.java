package org.cowslipstair.edge.permit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cowslipstair.edge.Mutations;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.traffic.BackendProcess;
import org.cowslipstair.model.traffic.RateLimit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

final class PermitCodecTest {
  private static final BackendProcess BACKEND =
      new BackendProcess(new BackendName("b-1"), 1_700_000_000_000L);

  private static Stream<PermitMessage> messages() {
    Optional<PermitMessage.Observed> limited =
        Optional.of(new PermitMessage.Observed(Optional.of(new RateLimit(1.5)), 12));
    Optional<PermitMessage.Observed> unlimited =
        Optional.of(new PermitMessage.Observed(Optional.empty(), 3));
    return Stream.of(
        new PermitMessage.Request(7, BACKEND, 2, limited),
        new PermitMessage.Request(8, BACKEND, 1, Optional.empty()),
        new PermitMessage.Reply(7, new PermitMessage.Verdict.Granted(), limited),
        new PermitMessage.Reply(7, new PermitMessage.Verdict.Unlimited(), unlimited),
        new PermitMessage.Reply(7, new PermitMessage.Verdict.Denied(250), limited),
        new PermitMessage.Reply(7, new PermitMessage.Verdict.NotIssuer(), Optional.empty()),
        new PermitMessage.Request(9, BACKEND, 0, unlimited));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void decodedMessageEqualsTheEncodedOne(PermitMessage message)
      throws MalformedPermitMessageException {
    byte[] bytes = PermitCodec.encode(message);
    assertThat(PermitCodec.isPermitMessage(bytes), is(true));
    assertThat(PermitCodec.decode(bytes), is(message));
  }

  /** A newer observation, or a request after a denial, must be possible in any case. */
  @Property(seed = "2828", tries = 4_000)
  void timesOfMalformedMessagesAreBounded(@ForAll long seed) throws IOException {
    Random random = new Random(seed);
    List<PermitMessage> messages = messages().toList();
    byte[] bytes = PermitCodec.encode(messages.get(random.nextInt(messages.size())));
    try {
      PermitMessage message = PermitCodec.decode(Mutations.mutateValue(bytes, random));
      Optional<PermitMessage.Observed> observed =
          switch (message) {
            case PermitMessage.Request request -> request.observed();
            case PermitMessage.Reply reply -> reply.observed();
          };
      long ageMs = observed.map(PermitMessage.Observed::ageMs).orElse(0L);
      assertThat(ageMs, allOf(greaterThanOrEqualTo(0L), lessThan(Long.MAX_VALUE / 1_000_000)));
      if (message instanceof PermitMessage.Reply(_, PermitMessage.Verdict.Denied(long ms), _)) {
        assertThat(ms, allOf(greaterThanOrEqualTo(0L), lessThan(Long.MAX_VALUE / 1_000_000)));
      }
    } catch (MalformedPermitMessageException expected) {
      // The connection is closed.
    }
  }

  @Test
  void malformedBytesAreRejected() {
    Random random = new Random(25);
    for (int i = 0; i < 10_000; i++) {
      byte[] bytes = new byte[random.nextInt(24)];
      random.nextBytes(bytes);
      try {
        PermitCodec.decode(bytes);
      } catch (MalformedPermitMessageException expected) {
        // Every failure has this type.
      }
    }
    byte[] rateThatIsNoNumber =
        PermitCodec.encode(
            new PermitMessage.Reply(
                1,
                new PermitMessage.Verdict.Granted(),
                Optional.of(new PermitMessage.Observed(Optional.of(new RateLimit(1)), 1))));
    for (int i = 5; i < 12; i++) {
      rateThatIsNoNumber[i] = (byte) 0xff;
    }
    assertThrows(
        MalformedPermitMessageException.class, () -> PermitCodec.decode(rateThatIsNoNumber));
  }
}
