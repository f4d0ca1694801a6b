package org.cowslipstair.edge.permit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Optional;
import java.util.Random;
import java.util.stream.Stream;
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
