package org.cowslipstair.edge.quota;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.cowslipstair.logic.quota.QuotaCoordinator;
import org.cowslipstair.logic.quota.QuotaIssuer;
import org.cowslipstair.logic.quota.ShareOffer;
import org.cowslipstair.model.tenant.Quota;
import org.cowslipstair.model.tenant.TenantName;
import org.junit.jupiter.api.Test;

final class QuotaCodecTest {
  /** Position of the kind of the offer in the second message. */
  private static final int KIND_INDEX = 8;

  private static final TenantName TENANT = new TenantName("tenant-1");
  private static final List<QuotaMessage> MESSAGES =
      List.of(
          new QuotaMessage.Request(
              7,
              "g-1",
              new ShareOffer(-5, 1L << 60, ShareOffer.Kind.LENDS, true),
              Optional.of(new QuotaMessage.Wanted(TENANT, new Quota(2.5, 4), 12))),
          new QuotaMessage.Request(
              8, "g-1", new ShareOffer(3, 0, ShareOffer.Kind.RELEASES, false), Optional.empty()),
          new QuotaMessage.Reply(7, new QuotaCoordinator.Reply(3, 9, Optional.empty())),
          new QuotaMessage.Reply(
              7, new QuotaCoordinator.Reply(3, 9, Optional.of(new QuotaIssuer.Decision.Granted()))),
          new QuotaMessage.Reply(
              7,
              new QuotaCoordinator.Reply(
                  3, 9, Optional.of(new QuotaIssuer.Decision.Denied(5, 6, 7, true)))),
          new QuotaMessage.GiveBack(TENANT));

  @Test
  void decodesWhatItEncodes() throws MalformedQuotaMessageException {
    for (QuotaMessage message : MESSAGES) {
      byte[] bytes = QuotaCodec.encode(message);
      assertThat(QuotaCodec.isQuotaMessage(bytes), is(true));
      assertThat(bytes.length, lessThanOrEqualTo(80));
      assertThat(QuotaCodec.decode(bytes), is(message));
    }
  }

  @Test
  void truncatedMessagesAreMalformed() {
    for (QuotaMessage message : MESSAGES) {
      byte[] bytes = QuotaCodec.encode(message);
      byte[] truncated = Arrays.copyOf(bytes, bytes.length - 1);
      assertThrows(MalformedQuotaMessageException.class, () -> QuotaCodec.decode(truncated));
    }
  }

  @Test
  void unknownKindsOfOffersAreMalformed() {
    byte[] bytes = QuotaCodec.encode(MESSAGES.get(1));
    assertThat((int) bytes[KIND_INDEX], is(ShareOffer.Kind.RELEASES.ordinal()));
    bytes[KIND_INDEX] = 3;
    assertThrows(MalformedQuotaMessageException.class, () -> QuotaCodec.decode(bytes));
  }
}
